Feature: Random bodies and keys
  What other programs send is decoded or refused with an error that names a field; nothing that they send may end a
  process, or be taken for something else. The seed is printed and taken from SEED.

  Scenario Outline: Random values
    When 2000 random values are decoded as <kind>
    Then each is decoded or refused with an error message

    Examples:
      | kind             |
      | a job            |
      | a heartbeat      |
      | a configuration  |
      | a directory key  |

  Scenario Outline: A valid body of which one part is replaced by a random value
    When 2000 changed bodies are decoded as <kind>
    Then each is decoded or refused with an error message

    Examples:
      | kind             |
      | a job            |
      | a heartbeat      |
      | a configuration  |
      | a directory key  |

  Scenario Outline: A body that is nested very deeply
    When <field> of <kind> holds a list nested 100000 times
    Then it is refused with an error message

    Examples:
      | field    | kind            |
      | Steps    | a job           |
      | Spec     | a job           |
      | Capacity | a heartbeat     |
      | Routes   | a configuration |

  # Guards against answers and log lines that repeat a long value, or name no field.
  Scenario Outline: The message for a long or deep value names the field and shows a part of it
    When <field> of <kind> holds <value>
    Then it is refused with an error message that names <name>

    Examples:
      | field    | kind            | value                     | name     |
      | State    | a heartbeat     | a text of 60000 letters   | State    |
      | Labels   | a heartbeat     | a list of 20000 numbers   | Labels   |
      | Service  | a heartbeat     | lists nested 100000 times | Service  |
      | Labels   | a heartbeat     | lists nested 100000 times | Labels   |
      | Capacity | a heartbeat     | lists nested 100000 times | Capacity |
      | Version  | a configuration | lists nested 100000 times | Version  |
      | Spec     | a job           | lists nested 100000 times | Spec     |
      | address  | a directory key | lists nested 100000 times | address  |

  Scenario Outline: Names that every object of the language has are no valid values
    When <field> of <kind> is "<value>"
    Then it is refused with an error message

    Examples:
      | field | kind        | value       |
      | State | a heartbeat | constructor |
      | State | a heartbeat | __proto__   |
      | State | a heartbeat | toString    |

  Scenario Outline: A refusal of a start that gives no known reason counts as unanswered
    When the worker refuses a start with the reason "<reason>"
    Then the start counts as "<answer>"

    Examples:
      | reason      | answer     |
      | room        | no-room    |
      | constructor | unanswered |
      | __proto__   | unanswered |
      | weather     | unanswered |

  Scenario Outline: A heartbeat under a path that can't be decoded
    When a heartbeat is sent with <method> to "/medlardale/instances/%zz"
    Then the agent answers with status 400

    Examples:
      | method |
      | PUT    |
      | DELETE |

  Scenario: A directory key with a worker that is not valid still names its process
    When a directory key is decoded whose worker is null
    Then it names the process without a worker

  # Guards against a second run of a task while the worker, to which there is no route for a moment, goes on with the first.
  Scenario Outline: Only a refused connection tells that the worker has exited
    When a renewal and a start end as "<result>"
    Then the renewal counts as "<renewal>"
    And the start counts as "<start>"

    Examples:
      | result     | renewal     | start      |
      | refused    | unreachable | refused    |
      | no-route   | unanswered  | refused    |
      | unanswered | unanswered  | unanswered |

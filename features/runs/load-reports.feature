Feature: Load reports of an agent
  Entries hear at once what changes where they place a task, and the rest a few times a second.

  Scenario Outline: A load is reported at once if another number of tasks fits, and otherwise with a delay
    Given a load with <reported> free of 16000 thousandths of a core was reported <age> ms ago
    When <free> are free, and tasks need 1600
    Then the load <result> reported

    Examples: a burst begins or ends, and the room for one task decides
      | reported | age | free | result |
      | 800      | 10  | 1600 | is     |
      | 1600     | 10  | 800  | is     |
      | 1600     | 10  | 3200 | is     |

    Examples: with room for several tasks, agents are only compared
      | reported | age | free | result |
      | 4800     | 50  | 9600 | is not |
      | 4800     | 250 | 9600 | is     |
      | 4800     | 900 | 5000 | is not |
      | 0        | 900 | 0    | is not |

  Scenario: An agent that closes is reported at once
    Given a load with 4800 free of 16000 thousandths of a core was reported 10 ms ago
    When the agent closes
    Then the load is reported

  Scenario Outline: A worker that turns slow is reported with a delay
    Given a load with 4800 free of 16000 thousandths of a core was reported <age> ms ago
    When the worker becomes 2 times as slow
    Then the load <result> reported

    Examples:
      | age | result |
      | 50  | is not |
      | 250 | is     |

  # Guards against offers by a capacity that has changed: entries hear of it at once.
  Scenario Outline: A worker that tells another capacity is reported at once
    Given a load with 4800 free of 16000 thousandths of a core was reported 10 ms ago
    When the capacity changes to <capacity>
    Then the load is reported

    Examples:
      | capacity |
      | 8000     |
      | 17000    |

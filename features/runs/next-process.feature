Feature: The next worker process at the same address
  It may be of another target and have other labels. Until it has told them, its agent knows only what the process before told.

  Background:
    Given an agent whose worker has 10000 thousandths of a core

  # Guards against starts on a worker without the required label, by the last heartbeat of the process before.
  Scenario Outline: A task that is offered before the first heartbeat of the new process is refused
    When a snapshot shows a restart of the worker
    Then the agent accepts no tasks
    When entry "e1" offers a <kind> task "t" that requires the label "a"
    Then entry "e1" gets the report that "t" ended as "not-started"
    When the new worker process tells the target "<target>" and the labels "<labels>"
    Then the worker is ordered to start "t" 0 times
    And entry "e1" is not asked about "t"

    Examples:
      | kind      | target | labels |
      | tentative | desk   | b      |
      | direct    | desk   | b      |
      | tentative | other  | a      |
      | tentative | desk   | a      |

  # Guards against a worker that stays unused after its restart.
  Scenario: The new process is used from its first heartbeat
    When a snapshot shows a restart of the worker
    And the new worker process tells the target "desk" and the labels "a"
    And entry "e1" offers a direct task "t" that requires the label "a"
    Then the worker is ordered to start "t" 1 time

  # Guards against the same for what waits when a heartbeat comes before the first answer of the new process.
  Scenario Outline: Waiting tasks that a heartbeat excludes are given back
    When entry "e2" offers a direct task "first" that requires the label ""
    And the start of "first" is answered "started"
    And entry "e1" offers a tentative task "t" that requires the label "a"
    And the worker tells the target "<target>" and the labels "<labels>"
    Then entry "e1" gets the report that "t" ended as "not-started"

    Examples:
      | target | labels |
      | desk   | b      |
      | other  | a      |

  # Guards against a start that was ordered for the process before and is sent to the next one.
  Scenario: A start that still waits to be sent is not sent to a worker without the label
    When entry "e1" offers a direct task "t" that requires the label "a"
    And a snapshot shows a restart of the worker
    Then the waiting start of "t" is not sent
    When the new worker process tells the target "desk" and the labels "b"
    Then the waiting start of "t" is not sent

  # Guards against a start on the wrong worker of a task that was granted before.
  Scenario: A granted task does not start once the worker has another label
    When entry "e1" offers a tentative task "t" that requires the label "a"
    And the worker tells the target "desk" and the labels "b"
    And entry "e1" grants "t"
    Then the worker is ordered to start "t" 0 times
    And entry "e1" gets the report that "t" ended as "not-started"

  # Guards against a task without needs that starts whatever the worker is.
  Scenario: A task that needs nothing waits for the first heartbeat too
    When a snapshot shows a restart of the worker
    And entry "e1" offers direct tasks "t" of 0
    Then the worker is ordered to start "t" 0 times

Feature: Queue of an agent
  The queue is bounded, refuses at once tasks that would miss their deadline, and loses no task.

  Scenario Outline: A full queue refuses
    Given a queue without slots that allows <tasks> tasks, <customerTasks> of a customer, and 1024 bytes
    When customer "a" queues <count> tasks of <bytes> bytes
    Then the last one is refused as "queue-full" by "<bound>"

    Examples:
      | tasks | customerTasks | count | bytes | bound          |
      | 1     | 1             | 2     | 1     | queue-tasks    |
      | 100   | 100           | 35    | 1     | kind-tasks     |
      | 100   | 1             | 2     | 1     | customer-tasks |
      | 100   | 100           | 1     | 1100  | queue-bytes    |
      | 100   | 100           | 3     | 300   | customer-bytes |

  Scenario: A flood leaves room in the queue for other customers and kinds
    Given a queue without slots that allows 100 tasks, 100 of a customer, and 1024 bytes
    When customer "a" queues 100 tasks of 1 bytes
    Then customer "b" can queue 10 tasks of 1 bytes
    And customer "a" can queue 5 tasks of another kind

  Scenario Outline: A task that would be late is refused early
    Given a kind whose tasks were measured to take <runTime> ms
    When a task with a deadline of <deadline> ms is offered behind <queued> queued ones
    Then it is <answer>

    Examples:
      | runTime | deadline | queued | answer                |
      | 400     | 300      | 0      | refused as "deadline" |
      | 400     | 500      | 0      | queued                |
      | 400     | 1000     | 40     | refused as "deadline" |
      | 400     | 4000     | 40     | queued                |

  Scenario: A kind that seemed too slow is tried again
    Given a kind whose tasks were measured to take 400 ms
    When the queue waits for 2000 ms
    And a task with a deadline of 300 ms is offered behind 0 queued ones
    Then it is queued

  Scenario: A new kind is tried whatever its deadline
    Given a kind that was never measured
    When a task with a deadline of 5 ms is offered behind 0 queued ones
    Then it is queued

  Scenario: A late task is never started
    Given a kind that was never measured
    When a task with a deadline of 50 ms is offered behind 0 queued ones
    And the queue waits for 60 ms
    Then no task starts, and one is dropped as "deadline"

  Scenario: Urgent work goes first but does not starve the rest
    Given a customer with 90 tasks queued of each urgency
    When 90 tasks of equal length have run one by one
    Then more of them were of each higher urgency, and at least 5 of the lowest

  Scenario: Random events lose no task
    When 20000 random events happen to a queue
    Then every accepted task has ended once or was dropped once, or is still running or queued

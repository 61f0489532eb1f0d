Feature: Slot queue
  The schedule drives p-queue: each accepted task runs once or is dropped once.

  Scenario: Tasks run on all slots, in turn
    Given a slot queue of 2 slots
    When 6 tasks of customer "a" and 2 tasks of customer "b" are queued
    Then 2 tasks run
    And all 8 tasks have run once the queue is idle, never more than 2 at a time
    And the first task of customer "b" ran among the first 4

  Scenario: Slots that come later start what is queued
    Given a slot queue of 0 slots
    When 6 tasks of customer "a" and 0 tasks of customer "b" are queued
    Then 0 tasks run
    When the queue gets 3 slots
    Then 3 tasks run
    And all 6 tasks have run once the queue is idle, never more than 3 at a time

  Scenario Outline: What never starts is told once
    Given a slot queue of 1 slots
    When 4 tasks of customer "a" and 4 tasks of customer "b" are queued
    And <event>
    Then 7 tasks are reported as dropped by "<reason>", and 1 has run

    Examples:
      | event                            | reason    |
      | every job is cancelled twice     | cancelled |
      | the deadlines pass               | deadline  |
      | the queue is closed              | leaving   |

  Scenario: A slot kept free for short work is given to long work once the short work ends
    Given a slot queue of 4 slots, with a kind measured as long and one measured as short
    When 4 long tasks and 1 short task are queued
    Then 3 long tasks and 1 short task run
    When the short task ends and 2000 ms pass without another
    Then 4 long tasks and 0 short task run

  Scenario: A runner that rejects frees its slot
    Given a slot queue of 1 slots
    When a task whose runner rejects is queued before 1 task
    Then the rejection is unhandled, and the other task runs

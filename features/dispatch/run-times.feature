Feature: Scale of run times and of workers' speeds
  Estimated run times stay those that are measured, however the load, the callers' estimates and the workers differ.

  An emulated fleet with three kinds of jobs in one queue. The time constants of estimate and slowness are tens of runs and
  10 s, so the hour is scaled to 60 s or less. Without an anchor, 5 of these 10 scenarios failed.

  # Guards against estimates and slownesses that scale each other up and down, which refused jobs on a fleet that was nearly idle.
  Scenario Outline: Calm traffic
    Given <workers> workers of speeds <speeds> at <load> percent of their capacity
    And callers' estimates that are off by the factors <factors>
    When this load is emulated for <seconds> s
    Then the median of measured by expected run times stays within 0.8 and 1.25 in each 10 s
    And the spread of measured by expected run times does not grow
    And no job whose tasks need not wait is refused

    Examples:
      | workers | speeds     | load | factors      | seconds |
      | 16      | 1 to 1     | 12   | 1, 1, 1      | 60      |
      | 16      | 0.5 to 2   | 10   | 3, 3, 3      | 60      |
      | 16      | 0.5 to 2   | 50   | 0.4, 3, 1    | 30      |
      | 16      | 0.5 to 2   | 80   | 1, 1, 1      | 20      |
      | 4       | 0.55 to 1.2 | 50  | 0.34, 0.34, 0.34 | 60  |
      | 4       | 1 to 1     | 10   | 1            | 60      |
      | 100     | 0.5 to 2   | 10   | 2, 0.5       | 20      |
      | 300     | 0.55 to 1.2 | 10  | 1, 1, 1      | 10      |

  # Guards against an estimate that takes up the speed of slow workers, so that they are no longer known as slow.
  Scenario: A fifth of the workers become slow and recover
    Given 15 workers of speeds 1 to 1 at 50 percent of their capacity
    And every fifth worker is 4 times slower from 10 to 25 s
    When this load is emulated for 50 s
    Then the slow workers are measured at least 1.5 times as slow as the others from 15 to 25 s
    And they are measured at most 1.3 times as slow as the others from 40 to 50 s
    And the median of measured by expected run times stays within 0.8 and 1.25 in each 10 s

  # Guards against a new entry whose callers' estimates skew the measured speeds of all workers.
  Scenario: Entries restart
    Given 16 workers of speeds 0.55 to 1.2 at 20 percent of their capacity
    And callers' estimates that are off by the factors 3, 3, 3
    And an entry is killed every 3 s
    When this load is emulated for 40 s
    Then the median of measured by expected run times stays within 0.8 and 1.25 in each 10 s
    And no job whose tasks need not wait is refused

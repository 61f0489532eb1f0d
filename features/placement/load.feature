Feature: Response time under load
  Runs in simulated time with eleven agents of eight slots; `SEED` sets the seed.

  Scenario Outline: Placement at <load>% load with reports every <interval> ms
    Given a placement run at <load>% load with reports every <interval> ms
    Then its response time is at most <p50> of the ideal at p50 and <p99> at p99
    And agents refuse at most 2% of the tasks
    And it takes at most 2 messages a task

    Examples:
      | load | interval | p50 | p99 |
      | 50   | 100      | 1.1 | 2   |
      | 80   | 100      | 1.1 | 2   |
      | 80   | 25       | 1.1 | 2   |

  Scenario: Reports help
    Given a placement run at 80% load by "two-choices"
    Then its p99 is below that of "random" without credits and of "round-robin" without credits

  Scenario: A straggler gets work by what it delivers
    Given a placement run at 50% load with an agent that is 5 times slower
    Then the slow agent runs at most 5% of the tasks

  Scenario Outline: Every task starts and ends once
    Given a placement run at <load>% load with jobs of <tasks> tasks
    Then every task of the jobs in the first half of the run has ended

    Examples:
      | load | tasks |
      | 95   | 1     |
      | 50   | 760   |

Feature: Outcomes of jobs
  Whatever fails, each task starts at most once, an answer holds every result or none, and "not-run" means that no task started.

  Scenario Outline: A job of <tasks> tasks when <fault>
    Given a fleet of 3 agents
    And a job of <tasks> tasks with a deadline of 2000 ms
    When <fault>
    And the fleet runs on for 8000 ms
    Then the caller received "<outcome>" with reason "<reason>"
    And <starts> tasks were started

    Examples:
      | tasks | fault                                                  | outcome  | reason         | starts   |
      | 20    | it is submitted                                        | complete | -              | 20       |
      | 20    | it is submitted at two entries at the same moment      | complete | -              | 20       |
      | 20    | it is submitted again after its answer                 | complete | -              | 20       |
      | 20    | it is submitted again under another body               | unknown  | digest-mismatch | 20       |
      | 20    | every message is doubled                               | complete | -              | 20       |
      | 20    | the home restarts before it is submitted               | unknown  | home-restarted | 0        |
      | 20    | the home restarts while it runs and it is sent again   | unknown  | home-restarted | up to 20 |
      | 20    | it is submitted after its window                       | unknown  | expired        | 0        |
      | 20    | it is submitted again after its window                 | unknown  | expired        | 20       |
      | 20    | its id comes from a clock that is 5000 ms ahead        | not-run  | expired        | 0        |
      | 20    | it is cancelled before it is submitted                 | not-run  | cancelled      | 0        |
      | 20    | it is refused, and a late submission arrives           | not-run  | contract-limit | 0        |
      | 20    | the home is full                                       | not-run  | memory-limit   | 0        |
      | 20    | the home is full and can store no more refusals        | unknown  | memory-limit   | 0        |
      | 20    | one of its tasks fails                                 | failed   | task-failed    | up to 20 |
      | 20    | every other agent is killed while it runs              | failed   | agent-lost     | up to 20 |
      | 20    | every other agent is frozen past its deadline          | failed   | agent-lost     | up to 20 |
      | 200   | its deadline passes while it runs                      | failed   | deadline       | up to 200 |

  Scenario Outline: Random faults with seed <seed>
    Given a fleet of 4 agents under random faults with seed <seed>
    When 150 jobs are submitted, resubmitted, queried, cancelled and refused at random
    Then the invariants held throughout the run
    And each outcome occurred at least once

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

Feature: Options of the exploration
  Options are checked; a refusal names the option and the value.

  Scenario: Options and their defaults
    When the options "--minutes 0.5 --seed 7 --faults stalls,cancels --jobs 2" are parsed
    Then the options are 0.5 minutes, seed 7, faults "stalls,cancels" and 2 jobs

  # Guards against a search that skips the fault which breaks the promise.
  Scenario: Default options leave out no fault
    When the options "" are parsed
    Then every fault is among the options

  Scenario Outline: Refused options
    When the options "<options>" are parsed
    Then they are refused with a message that contains "<option>" and "<value>"

    Examples:
      | options            | option  | value  |
      | --minutes 0        | minutes | 0      |
      | --minutes 1441     | minutes | 1441   |
      | --minutes soon     | minutes | soon   |
      | --minutes 1e3      | minutes | 1e3    |
      | --seed 1.5         | seed    | 1.5    |
      | --seed 4000000001  | seed    | 4000000001 |
      | --faults stalls,oh | faults  | oh     |
      | --faults=          | faults  |        |
      | --jobs 0           | jobs    | 0      |
      | --jobs many        | jobs    | many   |
      | --replay=          | replay  |        |
      | --lives 9          | lives   |        |

  Scenario: The command plays in other processes and prints lines
    When the command is run with "--minutes 0.01 --jobs 2 --seed 23 --faults stalls,cancels"
    Then it ends with exit code 0
    And it prints a line of type "result" with at least 1 plays and 0 failures
    And it prints 3 lines of type "pair"

  Scenario: The command plays a replay file
    When the command is run with "--replay features/regressions/cases/messages-of-ended-sessions.json"
    Then it ends with exit code 0
    And it prints "no violation"

  Scenario: The command refuses an option with exit code 2
    When the command is run with "--jobs 0"
    Then it ends with exit code 2
    And it complains with 'explore: option --jobs: "0" is not'

Feature: By what a job was held to have run or not
  The answer to a job is logged with it, so that an untruthful answer shows which report or record was wrong.

  Background:
    Given agents "a1" with 10000 thousandths of a core each

  # Guards against an answer whose cause is in no log line: a report that nothing had started was taken for a proof.
  Scenario Outline: The evidence is told with its age
    When job "j1" of 1 tasks of 3000 arrives
    And agent "a1" tells a capacity of 2000
    And task 0 of "j1" ends as "<end>"
    And 40 ms go by at the entry
    Then "j1" was held to have run or not by "<evidence>" of 40 ms ago

    Examples:
      | end         | evidence    |
      | not-started | not-started |
      | lost        | reported    |
      | failed      | reported    |

  Scenario: A report that nothing has started does not outweigh an earlier run
    When job "j1" of 1 tasks of 3000 arrives
    And task 0 of "j1" ends as "lost"
    And 40 ms go by at the entry
    And task 0 of "j1" ends as "not-started"
    Then "j1" was held to have run or not by "reported" of 40 ms ago

  Scenario: An order without a report
    When job "j1" of 1 tasks of 3000 arrives
    And 40 ms go by at the entry
    Then "j1" was held to have run or not by "ordered" of 40 ms ago

  Scenario: A task that only waits at agents
    Given agent "a1" is full with a wait of 5 ms
    When job "j1" of 1 tasks of 3000 arrives
    And 40 ms go by at the entry
    Then "j1" was held to have run or not by "no-order" of 40 ms ago

  Scenario: A task at an agent that does not come back
    When job "j1" of 1 tasks of 3000 arrives
    And agent "a1" disappears for as long as a run can last
    And 40 ms go by at the entry
    Then "j1" was held to have run or not by "agent-lost" of 40 ms ago

  # Guards against a refusal of a new submission that is logged as if no earlier one had run.
  Scenario: A new submission of a job that was given up is refused
    When job "j1" of 1 tasks of 3000 arrives
    And the caller of "j1" disconnects
    And task 0 of "j1" ends as "stopped"
    And the entry shuts down in 0 ms
    And job "j1" of 1 tasks of 3000 arrives
    Then the refusal as "leaving" was by the evidence "reported"

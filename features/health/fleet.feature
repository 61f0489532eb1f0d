Feature: A fleet with sick agents
  Simulated time, eleven agents with eight slots each, every home with its own view; the seed is taken from SEED.

  Scenario Outline: Sick agents lose their traffic within 2 s
    Given a simulated fleet at <load>% load
    When <sick> agents fail what they start from 20 s on
    Then 2 s later the sick agents start at most 1% of the tasks, and no other agent is ejected
    And of the tasks submitted later at least <rate>% succeed

    Examples:
      | load | sick | rate |
      | 50   | 1    | 99   |
      | 50   | 3    | 99   |
      | 80   | 1    | 99   |

  Scenario: A job that fails everywhere costs no agent its place
    Given a simulated fleet at 50% load
    When the jobs of one of four customers fail everywhere from 20 s on
    Then no home has ejected an agent
    And all tasks of the other customers succeed

  Scenario: Failures at random eject none
    Given a simulated fleet at 80% load
    When 10% of all tasks fail
    Then no home has ejected an agent

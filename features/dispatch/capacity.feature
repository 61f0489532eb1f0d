Feature: Jobs of an entry while the capacities of workers change
  An entry knows the capacity of a worker from the load that its agent reports.

  Background:
    Given agents "a1 a2" with 10000 thousandths of a core each

  # Guards against an agent that restarts and has only a capacity of unknown age to start tasks by.
  Scenario: An agent that restarts is told the capacity of its worker from before, with its age
    Given agent "a1" tells a capacity of 4000
    And agent "a1" was heard 100 ms before its stream closes
    When 300 ms later agent "a1" connects again
    Then it is told a capacity of 4000 that is 400 ms old
    When 300 ms later agent "a1" connects again
    Then it is told no capacity

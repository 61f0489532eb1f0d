Feature: Calls to the store
  The calls to the store stay under a budget that does not grow with the fleet.

  Scenario Outline: Calls per minute of a fleet in 4 data centres, 4 entries and 2 agents of each watching
    Given 4 entries and <agents> agents in 4 data centres
    And revision 1 is in force everywhere
    Then at most 12 processes watch the store
    And at most 90 calls are made in 60 s without a change
    And at most 480 calls are made in 60 s while the store is down
    And at most 6 of these calls fall into the same 50 ms
    And at most 30 calls are made in the first 1 s after its return
    And at most 150 calls are made in 60 s with 4 changes
    And at most 840 calls are made in 60 s while the store answers other revisions in turn

    Examples:
      | agents |
      | 7      |
      | 46     |
      | 196    |

  Scenario Outline: A lone process hears soon of a change after the store hung
    Given 1 entries and 0 agents in 1 data centres
    When the store is hanging for <time> s
    And the store has recovered
    And an operator applies a change
    Then revision 2 is in force everywhere within 4600 ms

    Examples:
      | time |
      | 60   |
      | 63   |
      | 66   |

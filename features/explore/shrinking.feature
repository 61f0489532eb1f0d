Feature: Shrinking failures
  A failing play is shrunk to a small one that fails in the same way.

  Scenario Outline: A failure is shrunk to its minimum
    Given a play of 12000 ms with 4 entries, 9 workers and the faults "lateOrders,agentKillMs,entryKillMs,stalls"
    And it fails with <faults>, <entries> entries, <workers> workers and <ms> ms or more
    When it is shrunk with at most 2000 plays
    Then <faults>, <entries> entries, <workers> workers and 1 kind are left
    And at least <ms> ms are left, and at most 12 percent more
    And the shrunk play fails

    Examples:
      | faults                     | entries | workers | ms   |
      | "lateOrders"               | 1       | 1       | 1000 |
      | "agentKillMs,stalls"       | 2       | 5       | 3000 |
      | "lateOrders,entryKillMs"   | 4       | 9       | 9000 |

  Scenario: A failure that shows with some seeds only is shrunk
    Given a play of 12000 ms with 4 entries, 9 workers and the faults "lateOrders,agentKillMs,entryKillMs,stalls"
    And it fails with "lateOrders", 2 entries, 3 workers and 1000 ms or more
    And it fails with every 5th seed only
    When it is shrunk with at most 2000 plays
    Then "lateOrders", 2 entries, 3 workers and 1 kind are left
    And the shrunk play fails

  Scenario: A failure of another kind is not taken for the same
    Given a play of 12000 ms with 4 entries, 9 workers and the faults "lateOrders,agentKillMs,entryKillMs,stalls"
    And it fails with "lateOrders", 2 entries, 3 workers and 1000 ms or more
    And all other plays fail in another way
    When it is shrunk with at most 2000 plays
    Then "lateOrders", 2 entries, 3 workers and 1 kind are left

  Scenario: Shrinking keeps to its number of plays
    Given a play of 12000 ms with 4 entries, 9 workers and the faults "lateOrders,agentKillMs,entryKillMs,stalls"
    And it fails with "lateOrders", 1 entries, 1 workers and 1000 ms or more
    When it is shrunk with at most 7 plays
    Then at most 7 plays were run
    And the shrunk play fails

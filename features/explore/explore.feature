Feature: Exploration of faults in combination
  Plays are counted by pair of faults, and those of a fixed range of seeds break no promise.

  Scenario: Plays by pair of faults
    When plays with "stalls,cancels", "stalls" and "lateOrders,cancels" are counted, the last one failed
    Then the pair "stalls,cancels" has 1 plays and 0 failures
    And the pair "lateOrders,cancels" has 1 plays and 1 failures
    And the pair "stalls,stalls" has 2 plays and 0 failures
    And the pairs without a play are "lateOrders,stalls"

  Scenario: A fixed range of seeds
    When 40 plays from seed 1 are explored
    Then no explored play broke a promise

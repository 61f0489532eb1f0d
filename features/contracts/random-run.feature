Feature: Randomised run of operators, processes and faults of the store
  Whatever faults coincide, revisions never fall, each accepted change is applied once, and all processes converge.

  Scenario Outline: Three operators, twelve processes, faults at random
    When operators change contracts for 240 s under random faults with seed <seed>
    And every fault ends
    Then all processes have the store's document in force within 6000 ms
    And every accepted change was written to the store once, and no refused change was

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

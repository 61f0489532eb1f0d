Feature: Drawing plays
  Plays of the exploration of faults are drawn from a seed within bounds.

  Scenario: Drawn plays keep their bounds
    When plays are drawn with the seeds 1 to 500
    Then each has 1 to 4 entries and 2 to 12 workers
    And the clocks of its workers run at 0.98 to 1.02 of the nominal rate
    And its mean run times are from 30 to 4000 ms and no longest one is above 4000 ms
    And its offered load is from 20 to 110 percent of the capacity
    And each has 1 to 4 faults, with rates within their bounds
    And no fault is drawn without the one that it needs
    And each value of a bound that can be counted was drawn
    And some plays have subsets and some have not
    And every fault is in some play

  Scenario: The same seed gives the same play
    When plays are drawn with the seeds 1 to 50
    Then drawing them again gives the same plays
    And no two of them are the same

  Scenario: Only the named faults are drawn
    When plays with the faults "callerCutMs,lateOrders" are drawn with the seeds 1 to 50
    Then each has only faults of "callerCutMs,lateOrders"
    And each of "callerCutMs,lateOrders" was drawn

  Scenario: A fault brings along the one that it needs
    When plays with the faults "lostLeaveAnswers" are drawn with the seeds 1 to 20
    Then each has the faults "workerLeaveMs,lostLeaveAnswers"

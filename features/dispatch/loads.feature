Feature: Loads that the decisions are made for
  Simulated loads on entries, agents and workers, run by the emulator.

  Scenario: A fleet at 60 percent serves nearly everything in time
    When "calm" is simulated for 12 s over 2 seeds
    Then at least 99 percent of the "urgent" jobs are in time
    And at least 99 percent of the "usual" jobs are in time

  Scenario: With more work than workers, what is admitted is in time
    When "lost-workers" is simulated for 12 s over 2 seeds
    Then at least 85 percent of the "urgent" jobs that were not refused are in time
    And at least 85 percent of the "usual" jobs that were not refused are in time

  Scenario: A burst of patient work leaves the rest in time
    When "patient-burst" is simulated for 12 s over 2 seeds
    Then at least 95 percent of the "urgent" jobs are in time
    And at least 90 percent of the "usual" jobs are in time

  Scenario: Work that comes while the fleet returns is served
    When "power-loss" is simulated for 12 s over 2 seeds
    Then at most 5 percent of the "urgent" jobs are refused
    And no guarantee is violated

  Scenario: Workers that turn slow delay few
    When "slow-workers" is simulated for 12 s over 2 seeds
    Then at least 95 percent of the "urgent" jobs are in time
    And at least 95 percent of the "usual" jobs are in time

  Scenario: What a node sends does not grow with the fleet
    When "calm-86" and "calm-300" are simulated for 2 s each
    Then the messages of an entry grow by at most 15 percent
    And the messages of an agent grow by at most 15 percent
    And no entry has more than 48 streams

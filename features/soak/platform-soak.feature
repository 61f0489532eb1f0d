Feature: Soak test of the platform's processes
  The bundles run as the deploy file starts them, under load and faults, and workers and callers tell what happened.

  # Guards against refusals on a fleet that is nearly idle, as expected run times drifted away from the measured ones.
  Scenario: Calm traffic
    When 4 entries and 16 agents run for 30 s without faults
    Then at least 99.5 percent of the jobs are served
    And the median of measured by expected run times stays within 0.8 and 1.25 in the logs of each 10 s
    And no rule was broken

  # Guards against a second run of a task for a caller whose connection broke, which its entry was not told.
  Scenario: Callers whose channels break while their entry is not told
    When 4 entries and 16 agents run for 25 s under "caller-channel-breaks"
    Then jobs were submitted again and completed
    And no rule was broken

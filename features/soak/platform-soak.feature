Feature: Soak test of the platform's processes
  The bundles run as the deploy file starts them, under load and faults, and workers and callers tell what happened.

  # Guards against a second run of a task for a caller whose connection broke, which its entry was not told.
  Scenario: Callers whose channels break while their entry is not told
    When 4 entries and 16 agents run for 25 s under "caller-channel-breaks"
    Then jobs were submitted again and completed
    And no rule was broken

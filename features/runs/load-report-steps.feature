Feature: Load reports at little processor time
  An agent decides 20 times a second for each entry whether to report. Loads that are equal in every figure are not described.

  # Guards against a shortcut that drops a report, or sends one that makes no difference to an entry.
  Scenario: Reports are due as by describing both loads each time
    When it is decided for 3000 random pairs of loads whether a report is due
    Then each decision is that of comparing the descriptions

Feature: Failures that were found once
  Each file in features/regressions/cases is a play of the emulator that broke a promise before its cause was mended.

  Scenario: Every kept failure is played again
    When every file in "features/regressions/cases" is played
    Then at least 1 file was played
    And no play broke a promise

Feature: Intervals that share a timer
  A process with many intervals wakes up once per tick.

  Background:
    Given shared intervals with a tick of 50 ms

  Scenario: Intervals of different periods run at their own rate
    Given an interval "check" of 50 ms
    And an interval "flush" of 100 ms
    When the intervals advance by 200 ms
    Then "check" has run 4 times
    And "flush" has run 2 times

  Scenario: An interval that is removed by another one in the same tick does not run
    Given an interval "close" of 50 ms that removes "flush"
    And an interval "flush" of 50 ms
    When the intervals advance by 100 ms
    Then "close" has run 2 times
    And "flush" has run 0 times

  Scenario Outline: Other periods need a timer of their own
    Then a period of <period> ms <can> be shared

    Examples:
      | period | can    |
      | 50     | can    |
      | 1000   | can    |
      | 91     | cannot |
      | 25     | cannot |
      | 0      | cannot |

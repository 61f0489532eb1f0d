Feature: Checks of answers in the emulator
  Answers to emulated callers are compared with the runs of the workers.

  Background:
    Given the job "0000000000000001" of 2 tasks is submitted

  Scenario Outline: Answers
    When these events follow: "<events>"
    And it is answered <answer>
    Then <count> answers are untrue

    Examples:
      | events                                     | answer    | count |
      | nothing else happens                       | not-run   | 0     |
      | task 1 starts                              | not-run   | 1     |
      | task 1 starts, the job is submitted again  | not-run   | 0     |
      | task 1 starts                              | given-up  | 0     |
      | task 0 starts, task 0 is done              | completed | 1     |
      | task 0 is done, task 1 is done             | completed | 0     |
      | task 0 is done, task 0 is done             | completed | 1     |

  Scenario: A run after the answer that nothing has run
    When it is answered not-run
    And these events follow: "task 1 starts"
    Then 1 answers are untrue

  Scenario: A run after another answer
    When it is answered given-up
    And these events follow: "task 1 starts"
    Then 0 answers are untrue

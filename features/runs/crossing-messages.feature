Feature: Messages between an agent and an entry that cross
  An entry that has granted a task waits for the report of its end. A message that was sent before the question of the
  agent does not answer it.

  Background:
    Given an agent whose worker has 10000 thousandths of a core

  # Guards against a job that never ends: the grant of an earlier offer's question was ignored, and the withdrawal not reported.
  Scenario: A waiting task that was granted is reported when its entry withdraws it
    When entry "e1" offers direct tasks "a" of 10000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 4000
    And entry "e1" grants "b"
    And entry "e1" withdraws "b"
    Then entry "e1" gets the report that "b" ended as "not-started"

  # Guards against a start by a grant that answers the question of an earlier offer.
  Scenario: A waiting task that was granted starts after another question
    When entry "e1" offers direct tasks "a" of 10000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 4000
    And entry "e1" grants "b"
    And the worker lists "a" as ended "done"
    Then the worker is ordered to start "b" 0 times
    And entry "e1" is asked about "b"
    When entry "e1" grants "b"
    Then the worker is ordered to start "b" 1 time

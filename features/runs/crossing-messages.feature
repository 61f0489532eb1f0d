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

  # Guards against a second run: a claim from before a suspension was taken for the answer to the question after it.
  Scenario: A claim does not answer a question about a task that has to be confirmed
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "late"
    And 10 ms pass and a snapshot shows no runs
    And entry "e1" claims "a"
    Then the worker is ordered to start "a" 1 time
    And entry "e1" is asked about "a" 2 times
    When entry "e1" grants "a"
    Then the worker is ordered to start "a" 2 times

  # Guards against the same where the question was sent before the entry fell silent.
  Scenario: A claim after a silence of its entry does not grant the start of a task
    When entry "e1" offers tentative tasks "a" of 4000
    And the agent has not heard entry "e1" for 600 ms, then hears it
    And entry "e1" claims "a"
    Then the worker is ordered to start "a" 0 times
    And entry "e1" is asked about "a" 2 times

  # Guards against losing a grant with the stream on which it was sent.
  Scenario: A recent claim of a task that was offered to several agents grants its start
    When entry "e1" offers tentative tasks "a" of 4000
    And entry "e1" claims "a"
    Then the worker is ordered to start "a" 1 time

  # Guards against a second run: a claim from before a suspension started a task behind an earlier run of it.
  Scenario: A claim after a silence of its entry starts no task behind an earlier run
    Given an agent that restarted while its worker runs "a" as run 1
    When the time of day has counted 900 ms that the agent has not
    And entry "e1" claims run 2 of "a"
    And 10 ms pass and a snapshot shows no runs
    Then the worker is ordered to start "a" 0 times
    And entry "e1" is asked about "a"

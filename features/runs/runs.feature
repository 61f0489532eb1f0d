Feature: Runs at a worker
  An agent tracks the resources of its worker, also when an order fails or gets no answer.

  Background:
    Given an agent whose worker has 10000 thousandths of a core

  Scenario: A direct offer starts at once or is refused
    When entry "e1" offers direct tasks "a b" of 6000
    Then the worker is ordered to start "a"
    And entry "e1" gets the report that "b" ended as "not-started"

  Scenario: A tentative offer asks its entry before it starts
    When entry "e1" offers tentative tasks "a" of 6000
    Then entry "e1" is asked about "a"
    And the worker is ordered to start nothing
    When entry "e1" grants "a"
    Then the worker is ordered to start "a"

  Scenario: An entry learns what others run and have waiting, by priority, with a part of each copy
    When entry "e1" offers direct tasks "a" of 6000
    And entry "e2" offers less urgent tasks "b" of 5000 to 4 agents
    Then entry "e1" learns that others use "0 0 0 0" and have "0 0 125000 0" waiting
    And entry "e2" learns that others use "0 6000 0 0" and have "0 0 0 0" waiting

  Scenario: Room is kept while an entry is asked
    When entry "e1" offers tentative tasks "a" of 6000
    And entry "e2" offers direct tasks "b" of 6000
    Then entry "e2" gets the report that "b" ended as "not-started"

  Scenario: The more urgent of two waiting tasks gets the room
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "low" of 9000 with priority 2
    And entry "e2" offers tentative tasks "high" of 9000 with priority 0
    And the worker lists "a" as ended "done"
    Then entry "e2" is asked about "high"

  Scenario: A start without an answer keeps its room until its stop is acknowledged
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "unanswered"
    Then the free capacity is 1000
    When 200 ms pass and a snapshot shows no runs
    Then the worker is ordered to stop "a"
    And the free capacity is 1000
    When the stop of "a" is answered "stopped"
    And 10 ms pass and a snapshot shows no runs
    Then the worker is ordered to start "a" as run 2

  Scenario: A start without an answer that is there goes on
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "unanswered"
    And 10 ms pass and a snapshot shows "a" at 5 percent
    Then the worker is ordered to stop nothing
    When the worker lists "a" as ended "done"
    Then entry "e1" gets the report that "a" ended as "done"

  Scenario Outline: What an answer to a start means
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "<answer>"
    Then <outcome>

    Examples:
      | answer       | outcome                                                    |
      | no-room      | entry "e1" gets the report that "a" ended as "not-started" |
      | refused      | entry "e1" gets the report that "a" ended as "not-started" |
      | invalid      | entry "e1" gets the report that "a" ended as "not-started" |
      | other-worker | entry "e1" gets the report that "a" ended as "not-started" |
      | outdated     | the worker is ordered to start "a" as run 17               |
      | fenced       | the worker is ordered to start "a" with a higher token     |

  Scenario: A run that stands still is stopped and counts against the worker
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "started"
    And 100 ms pass and a snapshot shows "a" at 10 percent
    And 250 ms pass and a snapshot shows "a" at 10 percent
    Then the worker is ordered to stop "a"
    When the worker lists "a" as ended "stopped"
    Then entry "e1" gets the report that "a" ended as "abandoned"

  Scenario: A run that is far too slow is given up, but not by its first percents
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "started"
    And 19 ms pass and a snapshot shows "a" at 1 percent
    Then the worker is ordered to stop nothing
    When 140 ms pass and a snapshot shows "a" at 4 percent
    Then the worker is ordered to stop "a"

  Scenario: A run whose worker turns slow in the middle is given up by its present pace
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "started"
    And 60 ms pass and a snapshot shows "a" at 60 percent
    And 150 ms pass and a snapshot shows "a" at 64 percent
    Then the worker is ordered to stop nothing
    When 150 ms pass and a snapshot shows "a" at 67 percent
    And 150 ms pass and a snapshot shows "a" at 69 percent
    And 150 ms pass and a snapshot shows "a" at 71 percent
    Then the worker is ordered to stop "a"

  Scenario: A run that is slow among sound ones is that of a long job
    When entry "e1" offers direct tasks "a b c" of 3000
    And the start of "a" is answered "started"
    And the start of "b" is answered "started"
    And the start of "c" is answered "started"
    And 101 ms pass and a snapshot shows the percents "a 10, b 60, c 70"
    Then the worker is ordered to stop nothing

  # Guards against a long task that is given up, and begins anew elsewhere, because nothing else runs on its worker at the time.
  Scenario: A run that is slow after another ended as expected is that of a long job
    When entry "e1" offers direct tasks "a b" of 3000
    And the start of "a" is answered "started"
    And the start of "b" is answered "started"
    And 90 ms pass and a snapshot shows the percents "a 10, b 90"
    And the worker lists "b" as ended "done" while the others are at "a 11"
    And 100 ms pass and a snapshot shows "a" at 21 percent
    And 100 ms pass and a snapshot shows "a" at 32 percent
    Then the worker is ordered to stop nothing

  # Guards against a long task that is stopped as stalled between two percents of its progress.
  Scenario: A long run shows its next percent late
    When entry "e1" offers direct tasks "a b" of 3000
    And the start of "a" is answered "started"
    And the start of "b" is answered "started"
    And the worker lists "b" as ended "done" while the others are at "a 0"
    And 180 ms pass and a snapshot shows "a" at 1 percent
    And 180 ms pass and a snapshot shows "a" at 2 percent
    And 250 ms pass and a snapshot shows "a" at 2 percent
    Then the worker is ordered to stop nothing

  Scenario: A run that is slow among slow ones is given up
    When entry "e1" offers direct tasks "a b c" of 3000
    And the start of "a" is answered "started"
    And the start of "b" is answered "started"
    And the start of "c" is answered "started"
    And 101 ms pass and a snapshot shows the percents "a 10, b 12, c 70"
    Then the worker is ordered to stop nothing
    When 10 ms pass and a snapshot shows the percents "a 11, b 13, c 71"
    And the worker lists "c" as ended "done" while the others are at "a 11, b 13"
    Then the worker is ordered to stop "a"

  Scenario: A worker that fails every job is only tried
    When tasks of 3 different jobs fail one after the other
    Then the agent accepts no tasks
    When 400 ms go by
    Then the agent accepts a trial task
    When tasks of 2 different jobs succeed one after the other
    Then the agent accepts tasks

  Scenario: One job that can't be done costs the worker nothing
    When 8 tasks of one job fail one after the other
    Then the agent accepts tasks

  Scenario: The runs of an entry that is not heard are stopped
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And the stream to entry "e1" closes
    And 200 ms go by
    Then the worker is ordered to stop "a"

  Scenario: The same task for another entry waits for the stop of the first run
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And entry "e2" offers direct tasks "a" of 4000
    Then the worker is ordered to stop "a"
    And the worker is ordered to start "a" 1 time
    When the worker lists "a" as ended "stopped"
    Then the worker is ordered to start "a" 2 times

  Scenario: A restarted agent adopts what still runs and answers for what does not
    Given an agent that restarted while its worker runs "a" and has listed "b" as "done"
    Then the free capacity is 0
    When entry "e1" claims "a b c"
    Then entry "e1" gets the report that "b" ended as "done"
    And entry "e1" gets the report that "c" ended as "lost"
    When the worker lists "a" as ended "done"
    Then entry "e1" gets the report that "a" ended as "done"

  Scenario: A restarted agent stops what nobody claims
    Given an agent that restarted while its worker runs "a" and has listed "b" as "done"
    When 700 ms go by
    Then the worker is ordered to stop "a"

  Scenario: A stored worker serves until its next heartbeat if it still lives
    Given an agent that restarted without a heartbeat since
    When the stored worker of the same start is restored
    And entry "e1" tells a capacity of 10000 that it knew 200 ms ago
    Then the agent accepts tasks

  Scenario Outline: What is stored of a worker for the time after a restart
    When the worker sends a heartbeat that <change>
    Then the worker <result> stored

    Examples:
      | change                         | result |
      | only has a higher number       | is not |
      | tells that it shuts down       | is     |
      | tells another capacity         | is     |
      | comes from a later start       | is     |
      | was sent before an earlier end | is not |

  Scenario: A worker that was shutting down is not used after a restart of its agent
    Given an agent that restarted without a heartbeat since
    When the stored worker that shuts down is restored
    And entry "e1" tells a capacity of 10000 that it knew 200 ms ago
    Then the agent accepts no tasks

  Scenario: A stored worker of another start is forgotten
    Given an agent that restarted without a heartbeat since
    When the stored worker of another start is restored
    And entry "e1" tells a capacity of 10000 that it knew 200 ms ago
    Then the agent accepts no tasks

  Scenario: An agent that has just started tells that it does not know its worker yet
    Given an agent that restarted without a heartbeat since
    Then the agent reports the mode "starting"
    When a renewal finds the worker unreachable
    Then the agent reports the mode "closed"

  Scenario: A single renewal without an answer closes nothing
    When entry "e1" offers tentative tasks "a b" of 9000
    And a renewal gets no answer
    Then the agent accepts tasks
    And the next renewal waits at most 50 ms

  Scenario: The lease of a run is renewed beside a call that waits at an idle worker
    Given the agent has sent a renewal to its idle worker
    Then the next renewal waits at most 1000 ms
    And no extra renewal is due
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is sent 300 ms later
    Then no extra renewal is due
    When 300 ms go by
    Then an extra renewal is due
    And the next renewal waits at most 200 ms

  Scenario: A single renewal without an answer from an idle worker closes nothing
    Given the agent has sent a renewal to its idle worker
    When 1050 ms go by
    And a renewal that waited for 1000 ms gets no answer
    Then the agent accepts tasks
    When 110 ms go by
    And a renewal gets no answer
    Then the agent accepts no tasks

  Scenario: A silent worker gives its waiting tasks back
    When entry "e1" offers direct tasks "a" of 9000
    And entry "e1" offers tentative tasks "b" of 9000
    And 400 ms go by
    And a renewal gets no answer
    Then entry "e1" gets the report that "b" ended as "not-started"
    And the agent accepts no tasks

  Scenario: A draining worker gives its waiting tasks back and finishes what runs
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 9000
    And the worker announces that it drains
    Then entry "e1" gets the report that "b" ended as "not-started"
    And the worker is ordered to stop nothing
    And the agent accepts no tasks

  Scenario: A worker that restarted has lost its runs
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "started"
    And a snapshot shows a restart of the worker
    Then entry "e1" gets the report that "a" ended as "crashed"
    And the free capacity is 0
    When the new worker process tells a capacity of 10000
    Then the free capacity is 10000

  Scenario: A delayed heartbeat of an earlier life changes nothing
    When a heartbeat of an earlier worker process arrives
    Then the free capacity is 10000
    And the agent accepts tasks

  # Guards against runs reported as lost, and then started a second time, while the worker still has them.
  Scenario Outline: A heartbeat that names another start than the worker's answers ends no runs
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And a heartbeat of "<id>" with start time <born> and number 1 gives the target "elsewhere"
    And 50 ms pass and a snapshot shows "a" at 50 percent
    Then no task is reported as ended
    And the agent takes the worker for "w1" with target "desk"

    Examples:
      | id | born             |
      | w9 | 9007199254740991 |
      | w1 | 9007199254740991 |
      | w9 | 5001             |

  # Guards against a worker that is never used again because an odd heartbeat came first.
  Scenario: The worker that answers comes into use after an odd heartbeat came first
    Given an agent that restarted without a heartbeat since
    When a heartbeat of "w9" with start time 9007199254740991 and number 1 gives the target "elsewhere"
    And a heartbeat of "w1" with start time 5000 and number 2 gives the target "desk"
    Then the agent takes the worker for "w1" with target "desk"

  # Guards against a worker that is never used again because its clock was set back before it restarted.
  Scenario: A worker that restarted with an earlier start time comes into use
    When a snapshot shows a restart of the worker at 4000
    And a heartbeat of "w1" with start time 4000 and number 1 gives the target "other"
    Then the agent takes the worker for "w1" with target "other"

  # Guards against heartbeats that are all taken for older ones after one with a number too large.
  Scenario: Heartbeats count again after one with a number too large
    When a heartbeat of "w1" with start time 5000 and number 9007199254740991 gives the target "elsewhere"
    And 3 further heartbeats of "w1" from number 6 follow every 1500 ms
    Then the agent takes the worker for "w1" with target "desk"

  # Guards against late heartbeats that replace a newer one.
  Scenario: Late heartbeats that arrive together change nothing
    When a heartbeat of "w1" with start time 5000 and number 20 gives the target "other"
    And 5 further heartbeats of "w1" from number 6 follow every 10 ms
    Then the agent takes the worker for "w1" with target "other"

  # Guards against ends that are never seen because one far beyond them was acknowledged.
  Scenario: An end at a position far beyond the others acknowledges none of them
    When entry "e1" offers direct tasks "a b" of 4000
    And the start of "a" is answered "started"
    And the start of "b" is answered "started"
    And a snapshot lists "a" as "done", and an end of another task at position 9007199254740991
    And a snapshot lists the end "b" as "done" beside it
    Then entry "e1" gets the report that "a" ended as "done"
    And entry "e1" gets the report that "b" ended as "done"

  Scenario: The run time counts from the sending of the start, which may have waited
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is sent 120 ms later
    And the start of "a" is answered "started"
    And 101 ms pass and a snapshot shows "a" at 25 percent
    Then the worker is ordered to stop nothing

  Scenario: A start that waited is not sent to another life of the worker
    When entry "e1" offers direct tasks "a" of 4000
    And the worker restarts before the start of "a" is sent
    Then the start is not sent

  Scenario: After a pause nothing is started for an entry that was not heard since, which may have moved the task
    When entry "e1" offers direct tasks "a" of 4000
    And the agent is paused for 2000 ms before the start of "a" is sent
    Then the start is not sent

  Scenario: A direct offer that may be old is confirmed by its entry before it starts
    When the agent has not heard entry "e1" for 700 ms, then hears it
    And entry "e1" offers direct tasks "a b" of 6000
    Then the worker is ordered to start nothing
    And entry "e1" is asked about "a"
    And entry "e1" gets the report that "b" ended as "not-started"
    When entry "e1" grants "a"
    Then the worker is ordered to start "a"

  Scenario: Direct offers start at once again when an entry was heard for some time
    When the agent has not heard entry "e1" for 700 ms, then hears it
    And 600 ms go by
    And entry "e1" offers direct tasks "a" of 6000
    Then the worker is ordered to start "a"

  Scenario: A task that waits does not start after a pause before its entry is heard again
    Given an agent whose worker has 4000 thousandths of a core
    When entry "e1" offers direct tasks "a" of 4000
    And entry "e1" offers tentative tasks "b" of 4000
    And the agent is paused for 2000 ms
    And the worker lists "a" as ended "done"
    Then entry "e1" is not asked about "b"
    When entry "e1" is heard
    Then entry "e1" is asked about "b"

  Scenario Outline: A granted task whose start was refused starts again without a question
    When entry "e1" offers tentative tasks "a" of 4000
    Then entry "e1" is asked about "a"
    When entry "e1" grants "a"
    And the start of "a" is answered "<answer>"
    Then the worker is ordered to start "a" 2 times
    And entry "e1" is asked about "a"

    Examples:
      | answer   |
      | fenced   |
      | outdated |

  Scenario: A granted task whose start got no answer starts again without a question
    When entry "e1" offers tentative tasks "a" of 4000
    And entry "e1" grants "a"
    And the start of "a" is answered "unanswered"
    And 200 ms pass and a snapshot shows no runs
    And the stop of "a" is answered "stopped"
    And 10 ms pass and a snapshot shows no runs
    Then the worker is ordered to start "a" as run 2
    And entry "e1" is asked about "a"

  Scenario: A task whose start was refused while the worker began to drain is given back
    When entry "e1" offers tentative tasks "a" of 4000
    And entry "e1" grants "a"
    And the worker announces that it drains
    And the start of "a" is answered "late"
    Then entry "e1" gets the report that "a" ended as "not-started"
    And the worker is ordered to start "a" 1 time

  # Guards against a crash under a task being taken for a planned end, a cut link or a lapse, and the reverse.
  Scenario Outline: The log tells a crash of the worker from its other ends
    When entry "e1" offers direct tasks "a" of 1000
    And the start of "a" is answered "started"
    And <event>
    Then the log tells that 1 run ended with the worker, which "<cause>"

    Examples:
      | event                                                                                  | cause   |
      | the worker crashes                                                                     | crashed |
      | a snapshot shows a restart of the worker                                               | crashed |
      | the worker leaves                                                                      | left    |
      | the worker announces that it drains and then crashes                                   | left    |
      | the worker is silent for 300 ms and then crashes                                       | silent  |
      | the worker is silent for 300 ms and then for another 1000 ms                           | lapsed  |

  # Guards against blaming a run that had run quietly for long, or one whose worker left, was silent or lapsed.
  Scenario Outline: A crash is blamed on the runs that had just started
    When entry "e1" offers direct tasks "old" of 1000
    And the start of "old" is answered "started"
    And 100 ms pass and a snapshot shows "old" at 10 percent
    And entry "e1" offers direct tasks "a" of 1000
    And the start of "a" is answered "<answer>"
    And <event>
    Then "a" has ended as "<end>", "blamed" for it
    And "old" has ended as "<end>", "not blamed" for it

    Examples:
      | answer     | event                                                | end     |
      | started    | the worker crashes                                   | crashed |
      | started    | a snapshot shows a restart of the worker             | crashed |
      | started    | the worker leaves                                    | lost    |
      | started    | the worker announces that it drains and then crashes | lost    |
      | started    | the worker is silent for 300 ms and then crashes     | lost    |

  # Guards against giving up a job whose starts came when their workers had crashed already: its tasks have crashed none.
  Scenario: A crash is not blamed on a start that the worker has not confirmed
    When entry "e1" offers direct tasks "a b" of 1000
    And the start of "a" is answered "unanswered"
    And the worker crashes
    Then "a" has ended as "crashed", "not blamed" for it
    And "b" has ended as "crashed", "not blamed" for it

  # Guards against blaming a crash on several runs, so that an innocent one is blamed again and given up.
  Scenario: A suspect starts alone, and a crash then is blamed on it only
    When entry "e1" offers direct tasks "young" of 1000
    And the start of "young" is answered "started"
    And 10 ms go by
    And entry "e1" offers tentative tasks "a" of 1000 as suspect
    And entry "e2" offers tentative tasks "b" of 1000
    Then entry "e1" is not asked about "a"
    And entry "e2" is not asked about "b"
    When 30 ms go by
    Then entry "e1" is asked about "a"
    When entry "e1" grants "a"
    And the start of "a" is answered "started"
    And the worker crashes
    Then "a" has ended as "crashed", "blamed" for it
    And "young" has ended as "crashed", "not blamed" for it

  # Guards against a worker that stays closed for others after an isolated start.
  Scenario: Others start once an isolated run has settled
    When entry "e1" offers tentative tasks "a" of 1000 as canary
    And entry "e1" grants "a"
    And the start of "a" is answered "started"
    And entry "e2" offers tentative tasks "b" of 1000
    Then entry "e2" is not asked about "b"
    And "a" has not survived yet
    When 30 ms go by
    Then "a" has survived
    And entry "e2" is now asked about "b"

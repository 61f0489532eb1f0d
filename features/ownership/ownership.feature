Feature: One owner of a job
  A caller that loses its connection submits the job again to another entry. Only one entry serves it at a time.

  Background:
    Given entries "e1 e2 e3" with streams to each other and to agent "a1"

  # Guards against a second run at an entry that nobody told of the first one.
  Scenario: A caller that turns to another entry gets the answer of the first one
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    Then "e2" has offered no task of "j1"
    When task 0 of "j1" ends at "e1" as done
    Then "e2" answers "j1" with completed, none

  Scenario: A job that is over before its caller can be back is not announced
    Given job "j1" is submitted to "e1"
    When 500 ms elapse between entries
    And task 0 of "j1" ends at "e1" as done
    And 400 ms elapse between entries
    Then no entry but "e1" knows of "j1"

  # Guards against a job that its owner ends at the deadline of the first caller, while a later one waits for it.
  Scenario: The owner serves a job until the deadline of the later caller
    Given job "j1" is submitted to "e1" with 2000 ms to its deadline
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2" with 3000 ms to its deadline
    And 1000 ms elapse between entries
    Then "e1" has not answered "j1"
    When task 0 of "j1" ends at "e1" as done
    Then "e2" answers "j1" with completed, none

  Scenario: The connection of the first caller is released once a later one waits
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    Then "e1" dismisses its callers of "j1"
    When the caller of "j1" leaves "e1"
    Then "e1" has not answered "j1"

  Scenario: A later caller that leaves ends the job at its owner
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    And the caller of "j1" leaves "e2"
    Then "e2" answers "j1" with given-up, cancelled
    And "e1" answers "j1" with given-up, cancelled

  Scenario: A joined job ends at its deadline
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2" with 600 ms to its deadline
    And 600 ms elapse between entries
    Then "e2" answers "j1" with given-up, deadline

  Scenario: A job that its owner has released is served by the next entry
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And "e1" gives up "j1" and its runs end
    And job "j1" is submitted to "e2"
    Then "e2" has offered a task of "j1"

  # Guards against a start while runs of an earlier submission are still being stopped.
  Scenario: A job whose runs are still ending at its owner waits for their end
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And "e1" gives up "j1"
    And job "j1" is submitted to "e2"
    And 200 ms elapse between entries
    Then "e2" has offered no task of "j1"
    When task 0 of "j1" ends at "e1" as stopped
    And 200 ms elapse between entries
    Then "e2" has offered a task of "j1"

  # Guards against taking over a job too early or never when its owner has ended.
  Scenario: The job of an entry that has restarted is taken over once no run of it can be left
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And "e1" restarts
    And job "j1" is submitted to "e2"
    And 1200 ms elapse between entries
    Then "e2" has offered no task of "j1"
    When 150 ms elapse between entries
    Then "e2" has offered a task of "j1"

  # Guards against "has not run" for a job whose tasks may have run at the entry that had it before.
  Scenario: A job that was taken over finds no worker
    Given job "j1" is submitted to "e1"
    And the agent is full for "e2"
    When 1300 ms elapse between entries
    And "e1" restarts
    And job "j1" is submitted to "e2"
    And 1350 ms elapse between entries
    Then "e2" has offered a task of "j1"
    When the worker becomes too small for "e2"
    And task 0 of "j1" ends at "e2" as not-started
    And 1000 ms elapse between entries
    Then "e2" answers "j1" with given-up, no-worker

  # Guards against taking the loss of one stream for the end of an entry that others reach.
  Scenario: An owner without a stream is asked through another entry
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And the streams between "e1" and "e2" close
    And 2000 ms elapse between entries
    And job "j1" is submitted to "e2"
    And 1500 ms elapse between entries
    Then "e2" has offered no task of "j1"
    When task 0 of "j1" ends at "e1" as done
    Then "e2" answers "j1" with completed, none

  Scenario: The job of an entry that does not answer is taken over once no run of it can be left
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And "e1" falls silent
    And job "j1" is submitted to "e2"
    And 1700 ms elapse between entries
    Then "e2" has offered no task of "j1"
    When 250 ms elapse between entries
    Then "e2" has offered a task of "j1"

  # Guards against holding a caller that can't be served within its deadline.
  Scenario: A caller that would wait in vain for the end of a silent owner is told at once
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And "e1" falls silent
    And the streams between "e1" and "e2" close
    And 600 ms elapse between entries
    And job "j1" is submitted to "e2" with 600 ms to its deadline
    Then "e2" answers "j1" with given-up, owned-elsewhere

  # Guards against two entries that take the tasks of one job from each other for as long as it lasts.
  Scenario: Of two entries that serve one job, the one that got it first gives it up
    Given the streams between all entries close
    And job "j1" is submitted to "e1"
    When 900 ms elapse between entries
    And job "j1" is submitted to "e2"
    And 100 ms elapse between entries
    And the streams between all entries open
    Then "e1" answers "j1" with given-up, superseded
    And "e2" has not answered "j1"

  # Guards against starting a task again that an agent has dropped for another entry.
  Scenario: An entry whose task was dropped for another entry gives the job up
    Given job "j1" is submitted to "e1"
    When the agent reports task 0 of "j1" to "e1" as superseded
    Then "e1" answers "j1" with given-up, superseded

  # Guards against two entries that take over a job at once, as both wait for it.
  Scenario: Of two entries that wait for a job, only the one with the later caller takes it over
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    And 1300 ms elapse between entries
    And job "j1" is submitted to "e3"
    Then "e2" answers "j1" with given-up, superseded
    When "e1" gives up "j1" as it shuts down, and its runs end
    And 200 ms elapse between entries
    Then "e3" has offered a task of "j1"
    And "e2" has offered no task of "j1"

  # Guards against the same when the owner can't tell either of the other.
  Scenario: Of two entries that wait for a job whose owner has ended, only the one with the later caller takes it over
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    And 700 ms elapse between entries
    And "e1" restarts
    And 600 ms elapse between entries
    And job "j1" is submitted to "e3"
    And 1500 ms elapse between entries
    Then "e3" has offered a task of "j1"
    And "e2" has offered no task of "j1"

  Scenario: An entry that asks for a job whose owner has ended hears of the entry that has taken it over
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    And "e1" restarts
    And 1350 ms elapse between entries
    Then "e2" has offered a task of "j1"
    When job "j1" is submitted to "e3"
    And 1000 ms elapse between entries
    Then "e3" has offered no task of "j1"
    When task 0 of "j1" ends at "e2" as done
    Then "e3" answers "j1" with completed, none

  # Guards against a cancelled job that another entry takes over as one that was released.
  Scenario: A job that is cancelled at its owner is cancelled at the entry that waits for it
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    And "e1" gives up "j1" and its runs end
    And 300 ms elapse between entries
    Then "e2" answers "j1" with given-up, cancelled
    And "e2" has offered no task of "j1"

  # Guards against a start beside runs of an earlier life of the same entry.
  Scenario: A job that comes back to its owner after a restart waits until no run of it can be left
    Given job "j1" is submitted to "e1"
    When 1250 ms elapse between entries
    And "e1" restarts
    And 50 ms elapse between entries
    And job "j1" is submitted to "e1"
    And 1150 ms elapse between entries
    Then "e1" has offered "j1" 1 time
    When 200 ms elapse between entries
    Then "e1" has offered "j1" 2 times

  # Guards against a task that crashes one worker after another, each time for another entry.
  Scenario: A job whose task has crashed workers while an entry waited for it is not taken over
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    And "e1" restarts
    And "e2" hears of crashes under task 0 of "j1"
    And 1500 ms elapse between entries
    Then "e2" answers "j1" with failed, crashes
    And "e2" has offered no task of "j1"

  # Guards against a job that is ended as a caller leaves that has come back to its first entry long ago.
  Scenario: An earlier caller at another entry does not end a job that was submitted to its owner again
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    And 1300 ms elapse between entries
    And job "j1" is submitted to "e1"
    And the caller of "j1" leaves "e2"
    Then "e1" has not answered "j1"

  # Guards against a job that stays `still-ending` for as long as its entry has a stream to the agent that dropped its run.
  Scenario: A job that was given up for another entry can be submitted again once its run has ended
    Given job "j1" is submitted to "e1"
    When the agent reports task 0 of "j1" to "e1" as superseded
    And job "j1" is submitted to "e1"
    Then "e1" has offered "j1" 2 times

  # Guards against a run that goes on at an entry whose callers turn to entries that can't hear of it.
  Scenario: An entry that is cut off from all others gives up jobs that it can't announce
    Given job "j1" is submitted to "e1"
    When the streams between all entries close
    And 1000 ms elapse between entries
    Then "e1" has not answered "j1"
    When 150 ms elapse between entries
    Then "e1" answers "j1" with given-up, isolated

  Scenario: The only entry of an installation keeps its jobs
    Given an entry "e1" alone with agent "a1"
    And job "j1" is submitted to "e1"
    When 5000 ms elapse between entries
    Then "e1" has not answered "j1"

  # Guards against serving a submission that lay in a buffer while its caller turned to another entry.
  Scenario: A submission that is read right after a standstill is not served
    When "e1" stands still for 2000 ms
    And job "j1" is submitted to "e1"
    Then "e1" answers "j1" with given-up, isolated
    When 200 ms elapse between entries
    And job "j2" is submitted to "e1"
    Then "e1" has offered a task of "j2"

  # Guards against refusing the callers of an entry that was cut off from its agents, and never stood still.
  Scenario: A submission after a cut from the agents alone is served
    When "e1" hears callers and no agents for 700 ms
    And 50 ms elapse between entries
    And job "j1" is submitted to "e1"
    Then "e1" has offered a task of "j1"

  # Guards against repeating "not run" of a job that another entry has started since.
  Scenario: A kept refusal is not repeated once another entry serves the job
    Given the agent is full for "e1"
    And job "j1" is submitted to "e1"
    When the caller of "j1" leaves "e1"
    Then "e1" answers "j1" with not-run, cancelled
    When 1300 ms elapse between entries
    And job "j1" is submitted to "e2"
    And 1300 ms elapse between entries
    And job "j1" is submitted to "e1"
    And task 0 of "j1" ends at "e2" as done
    Then "e1" answers "j1" with completed, none

  # Guards against serving a job that another entry serves, before a new entry has heard of it.
  Scenario: An entry that has just started serves nothing until it has heard of the others
    Given job "j1" is submitted to "e1"
    When 1300 ms elapse between entries
    And "e2" restarts without streams
    And 100 ms elapse between entries
    And job "j1" is submitted to "e2"
    Then "e2" answers "j1" with given-up, isolated
    When 1100 ms elapse between entries
    And job "j1" is submitted to "e2"
    Then "e2" answers "j1" with given-up, isolated
    When 150 ms elapse between entries
    And job "j2" is submitted to "e2"
    Then "e2" has offered a task of "j2"

  # Guards against an entry that announces jobs again and again and takes itself for cut off, as each receipt is for the last but one.
  Scenario: Receipts that are one message behind
    When "e1" announces a job each 200 ms for 3000 ms, with receipts that are one message behind
    Then "e1" is not isolated
    When "e1" announces a job each 200 ms for 1000 ms, without receipts
    Then "e1" is isolated

  # Guards against announcements that go round in a ring of entries for ever.
  Scenario: An announcement is passed on once
    Given job "j1" is submitted to "e1"
    When 5000 ms elapse between entries
    Then at most 6 messages have told of "j1"

  Scenario: What is known of the jobs of other entries is forgotten
    Given job "j1" is submitted to "e1" with 2000 ms to its deadline
    When 5000 ms elapse between entries
    Then no entry knows of jobs of others

  Scenario: An entry that starts hears of the jobs of the others
    Given job "j1" is submitted to "e1"
    When 600 ms elapse between entries
    And "e3" restarts
    And 700 ms elapse between entries
    And job "j1" is submitted to "e3"
    Then "e3" has offered no task of "j1"

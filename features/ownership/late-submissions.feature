Feature: Submissions that arrive late
  The network may hold a submission up for as long as its bytes are sent again. Its caller turns to another entry meanwhile, on a
  new channel. Whichever of the two arrives first, one of the entries knows of the other's submission before it offers a task.

  Background:
    Given entries "e1 e2 e3" with streams to each other and to agent "a1"

  # Guards against a second run at an entry that reads a submission after its caller has turned to another one.
  Scenario: The repetition arrives first
    Given job "j1" is submitted to "e2" on a new channel
    When 10 ms elapse between entries
    And job "j1" is submitted to "e1"
    Then "e1" has offered no task of "j1"
    And "e1" answers "j1" with given-up, superseded
    And "e2" has offered a task of "j1"
    When task 0 of "j1" ends at "e2" as done
    Then "e2" answers "j1" with completed, none

  # Guards against a second run while the end of the channel of the first submission is still on its way, or never comes.
  Scenario: The late submission arrives first
    Given job "j1" is submitted to "e1"
    When 10 ms elapse between entries
    And job "j1" is submitted to "e2" on a new channel
    Then "e2" has offered no task of "j1"
    When task 0 of "j1" ends at "e1" as done
    Then "e2" answers "j1" with completed, none

  # Guards against two starts when the questions of both entries cross.
  Scenario Outline: Both arrive at once, on new channels
    When messages between entries are held up
    And job "j1" is submitted to "<first>" on a new channel
    And job "j1" is submitted to "<second>" on a new channel
    Then "e1" has offered no task of "j1"
    And "e2" has offered no task of "j1"
    When the messages between entries arrive
    Then one of "e1" and "e2" has offered a task of "j1"

    Examples:
      | first | second |
      | e1    | e2     |
      | e2    | e1     |

  # Guards against a caller that is sent away for an older submission of its own.
  Scenario: A caller keeps its place when an older submission of its job is read elsewhere
    Given job "j1" is submitted to "e2" on a new channel
    When 150 ms elapse between entries
    And job "j1" is submitted to "e1" on a new channel
    And the caller of "j1" leaves "e1"
    Then "e2" has not answered "j1"
    When task 0 of "j1" ends at "e2" as done
    Then "e2" answers "j1" with completed, none

  # Guards against serving what an entry reads after a standstill in which others have taken it for lost.
  Scenario: An entry that has stood still asks the others before it serves anything
    When "e1" falls silent
    And "e1" stands still for 400 ms
    And the streams between "e1" and "e2" close
    And the streams between "e1" and "e3" close
    And job "j1" is submitted to "e2" on a new channel
    Then "e2" has offered a task of "j1"
    When "e1" is heard again
    And job "j1" is submitted to "e1"
    Then "e1" has offered no task of "j1"
    And "e1" has not answered "j1"
    When the streams between all entries open
    Then "e1" has offered no task of "j1"
    And "e1" answers "j1" with given-up, superseded

  # Guards against holding a caller for an entry that is gone.
  Scenario: After a standstill an entry does not wait for others for ever
    When "e1" stands still for 400 ms
    And the streams between "e1" and "e2" close
    And job "j1" is submitted to "e1"
    Then "e1" has offered no task of "j1"
    When 1300 ms elapse between entries
    Then "e1" has offered a task of "j1"

  # Guards against a start without the answer of an entry that may have the job.
  Scenario: An entry that does not answer is waited for until its stream closes
    When "e1" falls silent
    And job "j1" is submitted to "e2" on a new channel
    And 500 ms elapse between entries
    Then "e2" has offered no task of "j1"
    When the streams between "e1" and "e2" close
    And the streams between "e1" and "e3" close
    Then "e2" has offered a task of "j1"

  # Guards against telling a caller that a job has not run whose first submission may run elsewhere.
  Scenario: A job that is not settled at its deadline
    When "e1" falls silent
    And job "j1" is submitted to "e2" on a new channel, with 200 ms to its deadline
    And 250 ms elapse between entries
    Then "e2" answers "j1" with given-up, deadline

  # Guards against a start beside an entry that is no neighbour.
  Scenario: The question reaches entries without a stream
    Given "e1" has no stream to "e3"
    And job "j1" is submitted to "e1"
    When job "j1" is submitted to "e3" on a new channel
    Then "e3" has offered no task of "j1"
    When task 0 of "j1" ends at "e1" as done
    Then "e3" answers "j1" with completed, none

  # Guards against the same while nobody serves the job yet.
  Scenario: Entries without a stream to the asker remember its question
    Given "e1" has no stream to "e3"
    And job "j1" is submitted to "e3" on a new channel
    When job "j1" is submitted to "e1"
    Then "e1" has offered no task of "j1"
    And "e1" answers "j1" with given-up, superseded

  # Guards against taking over a job that the entry that asked for it does not serve, as it has found it elsewhere.
  Scenario: A later caller finds the entry that serves the job through one that waits for it
    Given job "j1" is submitted to "e1"
    And "e2" has no stream to "e1"
    And job "j1" is submitted to "e2" on a new channel
    And "e3" restarts
    When job "j1" is submitted to "e3" on a new channel
    And 400 ms elapse between entries
    Then "e3" has offered no task of "j1"
    When task 0 of "j1" ends at "e1" as done
    Then "e3" answers "j1" with completed, none

  # Guards against an entry that started a job while another one was out of reach, which hears of it with the new stream.
  Scenario: An entry that connects again hears of the repetitions that were served without it
    When the streams between "e1" and "e2" close
    And the streams between "e1" and "e3" close
    And job "j1" is submitted to "e2" on a new channel
    And the streams between all entries open
    And job "j1" is submitted to "e1"
    Then "e1" has offered no task of "j1"
    And "e1" answers "j1" with given-up, superseded

  # Guards against two entries that each take the job of the other for the older one.
  Scenario: Of a submission and its repetition that were both served, the repetition goes on
    Given the streams between all entries close
    And job "j1" is submitted to "e2" on a new channel
    When 300 ms elapse between entries
    And job "j1" is submitted to "e1"
    And 100 ms elapse between entries
    And the streams between all entries open
    Then "e1" answers "j1" with given-up, superseded
    And "e2" has not answered "j1"

  # Guards against a run after the caller was told that its job has not run and never will.
  Scenario: A first submission that arrives after its repetition was refused
    Given job "j1" is submitted to "e1" on a new channel, with 100 ms to its deadline
    Then "e1" answers "j1" with not-run, overload
    When job "j1" is submitted to "e1"
    Then "e1" has offered no task of "j1"
    And "e1" answers "j1" with given-up, superseded
    When job "j1" is submitted to "e1" on a new channel
    Then "e1" has offered a task of "j1"

  # Guards against a caller that waits for the answers of entries that do not know the question.
  Scenario: Entries of an earlier build are not asked
    Given entries of an earlier build, "e1 e2", with streams to each other and to agent "a1"
    When job "j1" is submitted to "e1" on a new channel
    Then "e1" has offered a task of "j1"

  Scenario: What is remembered of questions is forgotten
    Given job "j1" is submitted to "e1" on a new channel
    When task 0 of "j1" ends at "e1" as done
    And 65000 ms elapse between entries
    Then no entry knows of jobs of others

Feature: Jobs of an entry while data centres are closed
  An entry offers nothing to agents of closed data centres, places elsewhere what waits there, and counts only what is left.

  Background:
    Given agents "a1 a2" with 10000 thousandths of a core each
    And agent "a2" is in data centre "west"

  # Guards against tasks in a closed data centre, and against an entry that does not use the others.
  Scenario: New tasks go to the open data centres
    When "west" is closed
    And job "j1" of 4 tasks of 1000 arrives
    Then agent "a1" has 4 tasks
    And agent "a2" has 0 tasks

  # Guards against tasks that wait at an agent of a closed data centre while others have room.
  Scenario: Tasks that wait only in the data centre are placed elsewhere at once
    Given agent "a1" takes no tasks
    And agent "a2" is full with a wait of 40 ms
    When job "j1" of 1 tasks of 3000 arrives
    Then agent "a2" has 1 tentative tasks
    When agent "a1" takes tasks again
    And "west" is closed
    Then agent "a1" has 1 tasks
    When agent "a2" asks for task 0 of "j1"
    Then it is withdrawn from "a2" and granted to nobody

  # Guards against a task that is granted in a closed data centre although it waits elsewhere too.
  Scenario: A task that waits in several data centres is withdrawn from the closed one
    Given agent "a1" is full with a wait of 50 ms
    And agent "a2" is full with a wait of 40 ms
    When job "j1" of 1 tasks of 3000 arrives
    And "west" is closed
    And agent "a2" asks for task 0 of "j1"
    Then it is withdrawn from "a2" and granted to nobody
    When agent "a1" asks for task 0 of "j1"
    Then agent "a1" is granted it

  # Guards against waiting tasks that are offered to a closed data centre once room becomes free there.
  Scenario: Free resources of a closed data centre draw no waiting tasks
    Given agent "a1" is full with a wait of 50 ms
    And agent "a2" is full with a wait of 60 ms
    And agent "a2" takes no tasks
    When job "j1" of 1 tasks of 3000 arrives
    And "west" is closed
    And agent "a2" takes tasks again
    And agent "a2" has free resources again
    Then agent "a2" has 0 tasks

  # Guards against a caller that is held until its deadline, for a job that was handed back and nobody can run.
  Scenario: A job is refused at once while all data centres are closed
    When "dc west" are closed
    And job "j1" of 1 tasks of 3000 arrives
    Then "j1" is refused as "not-run" for "no-worker"

  # Guards against a wait for agents that are expected to connect again, in data centres that are closed too.
  Scenario: A job is refused at once while all are closed and agents are expected to connect
    Given 3 agents are known and expected to connect again
    When "dc west" are closed
    And job "j1" of 1 tasks of 3000 and 2000 ms arrives
    Then "j1" is refused as "not-run" for "no-worker"

  # Guards against the same wait after the streams to all agents have closed.
  Scenario: A job is refused at once while all are closed and no agent is connected
    When "dc west" are closed
    And both streams close
    And job "j1" of 1 tasks of 3000 and 2000 ms arrives
    Then "j1" is refused as "not-run" for "no-worker"

  # Guards against a refusal of jobs that the agents of an open data centre can run once they are connected again.
  Scenario: A job waits for agents of an open data centre that are expected to connect
    When "west" is closed
    And both streams close
    And job "j1" of 1 tasks of 3000 and 2000 ms arrives
    Then "j1" has no answer

  # Guards against a caller that is held until its deadline: its tasks were handed back by the last open data centre.
  Scenario: A job whose tasks come back is refused at the next tick while all are closed
    When job "j1" of 1 tasks of 3000 arrives
    And "dc west" are closed
    And task 0 of "j1" ends as "not-started"
    And 50 ms go by at the entry
    Then "j1" is answered "not-run" for "no-worker"

  # Guards against a job that waits in vain: the only worker large enough is in the closed data centre.
  Scenario: A job is refused if only a closed data centre has a worker for it
    Given agent "a1" tells a capacity of 2000
    When "west" is closed
    And job "j1" of 1 tasks of 3000 arrives
    Then "j1" is refused as "not-run" for "no-worker"

  # Guards against jobs that are admitted by a capacity that is not there, and end late.
  Scenario: Admission counts only the capacity that is left
    Given agent "a1" is full with a wait of 10 ms
    And agent "a2" is full with a wait of 10 ms
    When "west" is closed
    Then the capacity for admission is 10000
    When "west" is opened
    Then the capacity for admission is 20000

  # Guards against a canary in a closed data centre, and quarantine agents that nothing can start on.
  Scenario: Quarantine agents are chosen among the open data centres
    Given the route has crashed a worker
    When "dc" is closed
    And job "j1" of 1 tasks of 3000 arrives
    Then agent "a1" has 0 tasks
    And agent "a2" has 1 tentative tasks

  # Guards against a canary that stays at a closed data centre.
  Scenario: A canary that waits in a closed data centre moves to a quarantine agent elsewhere
    Given the route has crashed a worker
    When job "j1" of 1 tasks of 3000 arrives
    And the data centre of the canary of "j1" is closed
    Then the canary of "j1" is offered in the other data centre alone

  # Guards against a reopened data centre that gets no work until the load elsewhere changes.
  Scenario: Waiting tasks are offered to a data centre as soon as it is reopened
    Given agent "a1" is full with a wait of 40 ms
    And "west" is closed
    When job "j1" of 1 tasks of 3000 arrives
    Then agent "a2" has 0 tasks
    When "west" is opened
    Then agent "a2" has 1 tentative tasks

  # Guards against workers that are swamped as soon as they are reopened.
  Scenario: A cold worker gets a smaller share of the tasks than a warm one, and some of them
    Given agent "a2" stays cold for 10000 ms
    Then the capacity for admission is 15000
    When job "j1" of 16 tasks of 1000 arrives
    Then agent "a2" gets fewer tasks than "a1", but some

  # Guards against estimates that runs on a cold worker distort.
  Scenario: A run on a cold worker does not change the expected run time
    When job "j1" of 1 tasks of 1000 arrives
    And task 0 of "j1" ends after 900 ms on a cold worker
    Then a task estimated at 100 ms is expected to run for 100 to 100 ms

  # Guards against an entry that refuses all jobs, as the agents of its subset happen to be in a closed data centre.
  Scenario: An entry with one open agent left reaches for others
    Given agent "a1" is in data centre "west"
    And agent "a2" is in data centre "east"
    And the entry knows agents "b1 b2" of "west" and "c1 c2" of "east" without a stream
    Then it opens streams to ""
    When "west" is closed
    Then it opens streams to "c1 c2"

  # Guards against an entry that refuses all jobs, as the agents of its subset happen to be in a closed data centre.
  Scenario: An entry whose agents are all in closed data centres reaches for others
    Given agent "a1" is in data centre "west"
    And the entry knows agents "b1 b2" of "west" and "c1 c2" of "east" without a stream
    Then it opens streams to ""
    When "west" is closed
    Then it opens streams to "c1 c2"

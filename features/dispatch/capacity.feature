Feature: Jobs of an entry while the capacities of workers change
  An entry knows the capacity of a worker from the load that its agent reports.

  Background:
    Given agents "a1 a2" with 10000 thousandths of a core each

  # Guards against an agent that restarts and has only a capacity of unknown age to start tasks by.
  Scenario: An agent that restarts is told the capacity of its worker from before, with its age
    Given agent "a1" tells a capacity of 4000
    And agent "a1" was heard 100 ms before its stream closes
    When 300 ms later agent "a1" connects again
    Then it is told a capacity of 4000 that is 400 ms old
    When 300 ms later agent "a1" connects again
    Then it is told no capacity

  # Guards against a job that waits for nothing: no worker could ever hold its task.
  Scenario: A job with a task that no worker can hold is refused at once with the time to come back
    Given agent "a1" tells a capacity of 2000
    And agent "a2" tells a capacity of 2000
    When job "j1" of 1 tasks of 3000 arrives
    Then "j1" is refused as "not-run" for "no-worker"
    And some are answered "not-run" with a retry time of at least 1000 ms

  # Guards against work in vain: the first step ran although the second one could never run.
  Scenario: A job with a later step that no worker can hold is refused at once
    When job "j1" with a first step of 1000 and a second one of 12000 arrives
    Then "j1" is refused as "not-run" for "no-worker"

  # Guards against a caller that waits until its deadline: the only offer of the task came back.
  Scenario: A job whose task came back unstarted and that no worker can hold now is refused as not run
    When job "j1" of 1 tasks of 3000 arrives
    And agent "a1" tells a capacity of 2000
    And agent "a2" tells a capacity of 2000
    And task 0 of "j1" ends as "not-started"
    And 50 ms go by at the entry
    Then "j1" is answered "not-run" for "no-worker"

  # Guards against an untruthful answer: another task of the job has run.
  Scenario: A job of which a task has run is given up once no worker can hold the rest
    When job "j1" of 2 tasks of 3000 arrives
    And task 0 of "j1" ends as "done"
    And agent "a1" tells a capacity of 2000
    And agent "a2" tells a capacity of 2000
    And task 1 of "j1" ends as "lost"
    And 50 ms go by at the entry
    Then "j1" is answered "given-up" for "no-worker"

  # Guards against a job that is refused although a worker can hold it.
  Scenario: A task that its worker can no longer hold moves to one that can
    When job "j1" of 1 tasks of 3000 arrives
    And the agent of task 0 of "j1" tells a capacity of 2000
    And task 0 of "j1" ends as "not-started"
    Then task 0 of "j1" is offered again as run 1, at another agent
    When 50 ms go by at the entry
    Then "j1" has no answer

  # Guards against a job that is given up while the worker that can hold it takes no tasks for a moment.
  Scenario: A task waits for a worker that can hold it and takes no tasks at present
    When job "j1" of 1 tasks of 3000 arrives
    And the agent of task 0 of "j1" tells a capacity of 2000
    And the other agent takes no tasks at present
    And task 0 of "j1" ends as "not-started"
    And 50 ms go by at the entry
    Then "j1" has no answer

  # Guards against a job that is given up while agents are expected to return.
  Scenario: A task waits for agents that are expected to connect again
    When job "j1" of 1 tasks of 3000 arrives
    And agent "a1" tells a capacity of 2000
    And agent "a2" tells a capacity of 2000
    And 3 agents are known and expected to connect again
    And task 0 of "j1" ends as "not-started"
    And 50 ms go by at the entry
    Then "j1" has no answer

  # Guards against room that stays unused after a worker has grown again.
  Scenario: A worker that has grown again is offered the tasks that wait elsewhere
    Given agent "a1" is full with a wait of 40 ms
    And agent "a2" is full with a wait of 50 ms
    And agent "a2" tells a capacity of 2000
    When job "j1" of 1 tasks of 3000 arrives
    Then agent "a1" has 1 tentative tasks
    And agent "a2" has 0 tasks
    When agent "a2" tells a capacity of 10000
    And agent "a2" has free resources again
    Then agent "a2" has 1 tentative tasks

  # Guards against tasks that are sent to a worker that has more in use than it holds.
  Scenario: A worker with more in use than it holds gets no direct offers
    Given agents "a1" with 10000 thousandths of a core each
    And agent "a1" has 4000 more in use than it holds
    When job "j1" of 1 tasks of 3000 arrives
    Then agent "a1" has 1 tentative tasks

  # Guards against a ranking that is not a number: the load of a worker without processor capacity was a division by 0.
  Scenario: A worker without processor capacity does not upset the choice among the others
    Given agents "a1 a2 a3" with 10000 thousandths of a core each
    And agent "a2" tells a capacity of 0
    And agent "a1" is 3 times as slow
    When job "j1" of 1 tasks of 0 arrives
    Then agent "a3" has 1 tasks
    And "j1" has no answer

Feature: A worker whose capacity changes while it runs
  A worker tells its capacity with each heartbeat. Only starts have to fit: what runs goes on after the capacity shrinks.

  Background:
    Given an agent whose worker has 10000 thousandths of a core

  # Guards against a start over the capacity: it shrank between the question to the entry and the grant.
  Scenario: A granted task that no longer fits is given back
    When entry "e1" offers direct tasks "a" of 6000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 4000
    And the worker tells a capacity of 8000
    And entry "e1" grants "b"
    Then entry "e1" gets the report that "b" ended as "not-started"
    And the worker is ordered to start "b" 0 times
    And the worker is ordered to stop nothing

  # Guards against a start over the capacity: the grant was lost, and the claim on the next stream stands for it.
  Scenario: A task that its entry claims instead of granting it is given back if it no longer fits
    When entry "e2" offers direct tasks "a" of 6000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 4000
    And the worker tells a capacity of 8000
    And entry "e1" claims "b"
    Then entry "e1" gets the report that "b" ended as "not-started"
    And the worker is ordered to start "b" 0 times

  # Guards against a start over the capacity: it shrank while the order waited behind others.
  Scenario: A start that still waits to be sent is not sent over a capacity that has shrunk
    When entry "e1" offers direct tasks "a b" of 4000
    And the start of "a" is sent 1 ms later
    And the start of "a" is answered "started"
    And the worker tells a capacity of 6000
    Then the waiting start of "b" is not sent

  # Guards against a queue that stands still: a waiting task that can never fit blocked the smaller ones behind it.
  Scenario: Waiting tasks that the shrunk capacity can never hold are given back, and smaller ones start
    When entry "e1" offers direct tasks "a" of 6000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "big" of 9000
    And entry "e2" offers tentative tasks "small" of 4000
    And the worker tells a capacity of 5000
    Then entry "e1" gets the report that "big" ended as "not-started"
    When 400 ms go by
    And the worker lists "a" as ended "done"
    Then entry "e2" is asked about "small"

  # Guards against a task that waits for nothing: its entry may not have heard of the smaller capacity yet.
  Scenario: A tentative offer that the capacity can never hold is refused at once
    When the worker tells a capacity of 5000
    And entry "e1" offers tentative tasks "big" of 6000
    Then entry "e1" gets the report that "big" ended as "not-started"

  # Guards against a lost task: a direct offer that waits for the stop of another run has no other agent.
  Scenario: A direct offer that waits for another run of the task is given back if it can never fit
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And entry "e2" offers direct tasks "a" of 4000
    And the worker tells a capacity of 3000
    Then entry "e2" gets the report that "a" ended as "not-started"

  # Guards against a lost task: a granted one is no other agent's any more.
  Scenario Outline: A granted task whose start is to be repeated is given back if it can never fit
    When entry "e1" offers tentative tasks "a" of 4000
    And entry "e1" grants "a"
    And the worker tells a capacity of 3000
    And the start of "a" is answered "<answer>"
    Then entry "e1" gets the report that "a" ended as "not-started"

    Examples:
      | answer   |
      | fenced   |
      | outdated |
      | late     |

  # Guards against a lost task: a start without an answer is repeated after its stop, when the capacity may have shrunk.
  Scenario: A granted task whose start got no answer is given back if it can never fit
    When entry "e1" offers tentative tasks "a" of 4000
    And entry "e1" grants "a"
    And the start of "a" is answered "unanswered"
    And the worker tells a capacity of 3000
    And 200 ms pass and a snapshot shows no runs
    And the stop of "a" is answered "stopped"
    And 10 ms pass and a snapshot shows no runs
    Then entry "e1" gets the report that "a" ended as "not-started"

  # Guards against a start over the capacity of a worker that has come back smaller at the same address.
  Scenario: Nothing starts at a new worker process before it has told its capacity
    When a snapshot shows a restart of the worker
    Then the free capacity is 0
    When entry "e1" offers tentative tasks "a" of 6000
    Then entry "e1" is not asked about "a"
    When the new worker process tells a capacity of 4000
    Then the free capacity is 4000
    And entry "e1" gets the report that "a" ended as "not-started"
    When entry "e1" offers tentative tasks "b" of 4000
    Then entry "e1" is asked about "b"

  # Guards against starts at a worker that leaves, by a capacity from before the agent's restart.
  Scenario: A stored worker that arrives after a heartbeat is not used once the worker has left
    When the stored worker of the same start is restored
    And the worker announces its shutdown
    And a snapshot shows that it still runs nothing
    And 50 ms go by
    Then the agent accepts no tasks

  # Guards against lost tasks: a heartbeat that was late made the agent drop the runs of the new worker process.
  Scenario: A late heartbeat of the worker process before changes nothing
    When a snapshot shows a restart of the worker
    And the new worker process tells a capacity of 4000
    And entry "e1" offers direct tasks "a" of 3000
    And the start of "a" is answered "started"
    And a late heartbeat of the process before tells a capacity of 9000
    Then the free capacity is 1000

  # Guards against lost tasks and against a start by the old capacity, before the new process has sent a heartbeat.
  Scenario: A late heartbeat of the worker process before does not stand for the new one
    When a snapshot shows a restart of the worker
    And a late heartbeat of the process before tells a capacity of 9000
    Then the free capacity is 0
    And the agent has seen one restart of the worker

  # Guards against a start by a capacity that the worker has taken back since.
  Scenario: Heartbeats that overtake each other leave the newest capacity
    When the worker tells a capacity of 4000 with heartbeat 9
    And the worker tells a capacity of 9000 with heartbeat 8
    Then the free capacity is 4000

  # Guards against a worker that is never used again: its clock was set back before it started anew.
  Scenario: A new worker process is used although its start time is before that of the process before
    When a snapshot shows a worker process with an earlier start time
    And the new worker process tells a capacity of 4000
    Then the free capacity is 4000

  # Guards against a start over the capacity: a run that was given up as lost went on and was not counted.
  Scenario: A run that is listed after it was reported as lost is stopped, and keeps all room until it has ended
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And a renewal finds the worker unreachable
    And 700 ms go by
    Then entry "e1" gets the report that "a" ended as "crashed"
    When 10 ms pass and a snapshot shows "a" at 10 percent
    Then the free capacity is 0
    When 50 ms go by
    Then the worker is ordered to stop "a"
    When 10 ms pass and a snapshot shows no runs
    Then the free capacity is 10000

  # Guards against room that stays unused: a snapshot was overtaken by a newer one that lists the end of the run.
  Scenario: A snapshot from before the end of a run does not bring it back
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And the worker lists "a" as ended "done"
    And a snapshot from 5 ms before shows "a"
    Then the free capacity is 10000

  # Guards against a start over the capacity: a run that is being stopped uses its resources until its end is listed.
  Scenario: A run that is being stopped counts after its stop was acknowledged, until its end is listed
    When entry "e1" offers direct tasks "a" of 6000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 4000
    And entry "e2" offers tentative tasks "c" of 4000
    And entry "e1" withdraws "a"
    Then the worker is ordered to stop "a"
    When the stop of "a" is answered "stopped"
    And 10 ms pass and a snapshot shows "a" at 10 percent
    Then the free capacity is 0
    And entry "e2" is not asked about "c"
    When the worker lists "a" as ended "stopped"
    Then the free capacity is 2000

  # Guards against starts by a capacity that may have shrunk long ago, for instance while this process was paused.
  Scenario: Nothing starts while the last heartbeat is too old
    When entry "e1" offers direct tasks "a" of 6000
    And the start of "a" is sent 1 ms later
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 6000
    And 4100 ms pass and a snapshot shows "a" at 99 percent
    And entry "e1" offers direct tasks "c" of 4000
    Then entry "e1" gets the report that "c" ended as "not-started"
    And the agent reports the mode "closed"
    When 50 ms go by
    Then entry "e1" gets the report that "b" ended as "not-started"
    When the worker tells a capacity of 10000
    Then the agent accepts tasks
    When entry "e1" offers direct tasks "d" of 4000
    Then the worker is ordered to start "d"

  # Guards against a start by an old capacity: the order waited while this process was paused.
  Scenario: A start that still waits to be sent is not sent once the last heartbeat is too old
    When entry "e1" offers direct tasks "a" of 6000
    And 4100 ms go by
    Then the waiting start of "a" is not sent

  # Guards against a start by an old capacity: the grant arrived after a pause of this process.
  Scenario: A granted task does not start once the last heartbeat is too old
    When entry "e1" offers tentative tasks "a" of 6000
    And the agent is paused for 4100 ms
    And entry "e1" grants "a"
    Then the worker is ordered to start nothing
    And entry "e1" gets the report that "a" ended as "not-started"

  # Guards against room that stays unused after the worker has grown again.
  Scenario: The capacity that a worker tells is used at once
    When the worker tells a capacity of 2000
    And entry "e1" offers tentative tasks "a" of 2000
    And entry "e1" grants "a"
    And the start of "a" is answered "started"
    And entry "e2" offers tentative tasks "b" of 2000
    Then entry "e2" is not asked about "b"
    When the worker tells a capacity of 4000
    Then the free capacity is 0
    And the agent has asked entry "e2" about "b"

  # Guards against starts by a capacity that was stored before the agent's restart and that the worker has taken back since.
  Scenario: A stored worker that was resized before waits for its heartbeat without an entry that has lately heard its capacity
    Given an agent that restarted without a heartbeat since
    When the stored worker that was resized before is restored
    And 50 ms go by
    Then the agent reports the mode "starting"
    When entry "e1" offers direct tasks "a" of 4000
    Then the worker is ordered to start nothing

  # Guards against a fleet that waits for heartbeats after all of its processes have restarted.
  Scenario: A stored worker of constant capacity serves at once if the entries have restarted too
    Given an agent that restarted without a heartbeat since
    When the stored worker of the same start is restored
    Then the agent accepts tasks
    And the free capacity is 10000
    When 2600 ms go by
    Then the agent accepts no tasks

  # Guards against a stored capacity that is trusted after it has changed.
  Scenario: What is stored of a worker tells that it has been resized
    When the worker sends a heartbeat that tells another capacity
    Then the worker is stored as resized

  # Guards against starts above a capacity that shrank while the store was down, before the agent's restart.
  Scenario Outline: The smaller of the stored and the last heard capacity counts until the next heartbeat
    Given an agent that restarted without a heartbeat since
    When the stored worker of the same start is restored
    And entry "e1" tells a capacity of <told> that it knew <age> ms ago
    And 50 ms go by
    Then the agent reports the mode "<mode>"
    And the free capacity is <free>

    Examples: what was heard holds for the contact time, which includes the restart
      | told  | age  | mode     | free  |
      | 10000 | 200  | open     | 10000 |
      | 4000  | 200  | open     | 4000  |
      | 12000 | 200  | open     | 10000 |
      | 4000  | 2400 | open     | 4000  |
      | 4000  | 2600 | starting | 0     |

  # Guards against a capacity that gets older than the contact time while nothing is heard from the worker.
  Scenario: The last heard capacity expires if no heartbeat follows
    Given an agent that restarted without a heartbeat since
    When entry "e1" tells a capacity of 4000 that it knew 2000 ms ago
    And the stored worker of the same start is restored
    Then the agent accepts tasks
    When 600 ms go by
    Then the agent accepts no tasks

  # Guards against a wait that is told too short: what is in use above the capacity has to end first.
  Scenario: The expected wait counts what is in use above the capacity
    When entry "e1" offers direct tasks "a b" of 4000
    And the start of "a" is sent 1 ms later
    And the start of "a" is answered "started"
    And 40 ms go by
    And the start of "b" is sent 1 ms later
    And the start of "b" is answered "started"
    And the worker tells a capacity of 4000
    Then the free capacity is -4000
    And the expected wait is 60 to 100 ms

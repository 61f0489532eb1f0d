Feature: Jobs of an entry
  An entry admits the jobs that it can serve in time, places every task on one agent, and answers each job once.

  Background:
    Given agents "a1 a2" with 10000 thousandths of a core each

  Scenario: A job is answered when its last task is done
    When job "j1" of 2 tasks of 3000 arrives
    Then 2 tasks are offered directly
    When task 0 of "j1" ends as "done"
    Then "j1" has no answer
    When task 1 of "j1" ends as "done"
    Then "j1" is answered "completed"

  Scenario: Tasks spread over the agents instead of filling one
    When job "j1" of 4 tasks of 2000 arrives
    Then agent "a1" has 2 tasks
    And agent "a2" has 2 tasks

  Scenario: A slower agent with room goes before a wait at a fast one
    Given agent "a2" is 1.5 times as slow
    And agent "a1" is full with a wait of 40 ms
    When job "j1" of 1 tasks of 3000 arrives
    Then agent "a2" has 1 tasks

  Scenario: Without room the first agent that asks gets the task
    Given agent "a1" is full with a wait of 40 ms
    And agent "a2" is full with a wait of 50 ms
    When job "j1" of 1 tasks of 3000 arrives
    Then agent "a1" has 1 tentative tasks
    And agent "a2" has 1 tentative tasks
    When agent "a2" asks for task 0 of "j1"
    Then agent "a2" is granted it
    And it is withdrawn from "a1" at the next tick
    When agent "a1" asks for task 0 of "j1"
    Then it is withdrawn from "a1"

  Scenario: A withdrawal shares the frame of the next message to its agent, before its offers
    Given agent "a1" is full with a wait of 40 ms
    And agent "a2" is full with a wait of 50 ms
    When job "j1" of 1 tasks of 3000 arrives
    And agent "a2" asks for task 0 of "j1"
    And job "j2" of 1 tasks of 3000 arrives
    Then the messages to "a1" are "offer withdraw offer"
    And nothing is withdrawn at the next tick

  Scenario: Withdrawals for an agent whose stream closes are dropped
    Given agent "a1" is full with a wait of 40 ms
    And agent "a2" is full with a wait of 50 ms
    When job "j1" of 1 tasks of 3000 arrives
    And agent "a2" asks for task 0 of "j1"
    And the stream to "a1" closes
    Then nothing is withdrawn at the next tick

  Scenario: An agent with free resources is offered no more waiting tasks than fit, the most urgent first
    Given agent "a1" is full with a wait of 40 ms
    And agent "a2" is full with a wait of 50 ms
    When job "j1" of 4 tasks of 3000 arrives
    And urgent job "j2" of 2 tasks of 3000 arrives
    And agent "a3" connects
    And agent "a3" has free resources again
    Then agent "a3" is offered "j2.0.0.0 j2.0.0.1 j1.0.0.0" tentatively

  Scenario: Two tasks of a step at a time go to one agent, to save messages
    Given agents "a1 a2 a3 a4 a5 a6 a7 a8" with 10000 thousandths of a core each
    When job "j1" of 8 tasks of 1000 arrives
    Then 4 messages carry its offers

  Scenario: Tasks of a step with a limit for each worker spread
    Given agents "a1 a2 a3 a4" with 10000 thousandths of a core each
    When job "j1" of 4 tasks of 1000 with at most 1 at one worker arrives
    Then 4 messages carry its offers

  Scenario: A job that only waited was never run
    Given agent "a1" is full with a wait of 40 ms
    And agent "a2" is full with a wait of 50 ms
    When job "j1" of 1 tasks of 3000 arrives
    And the caller of "j1" disconnects
    Then "j1" is answered "not-run"

  Scenario: A job of which a task may have run is given up
    When job "j1" of 1 tasks of 3000 arrives
    And the caller of "j1" disconnects
    Then "j1" is answered "given-up"
    And it is withdrawn from its agent

  Scenario: A flood is refused at once with the time to come back
    Given agent "a1" is full with a wait of 40 ms
    And agent "a2" is full with a wait of 50 ms
    When 60 jobs of 4 tasks of 3000 arrive
    Then some are answered "not-run" with a retry time of at least 1000 ms
    And no job that was admitted waits for more than 2000 ms of work

  # Guards against a caller that never comes back: 503 is final for it, while another entry would serve its job.
  Scenario Outline: An entry that shuts down serves the jobs that end before it does
    Given the entry shuts down in <left> ms
    When job "j1" of 1 tasks of 3000 and 200 ms arrives
    Then "j1" <result>

    Examples: callers with open connections send until the process is gone
      | left | result                                  |
      | 5000 | has no answer                           |
      | 400  | has no answer                           |
      | 250  | is refused as "given-up" for "leaving"  |
      | 0    | is refused as "given-up" for "leaving"  |

  # Guards against a caller that never comes back: a stopping entry without agents refused jobs that others had room for.
  Scenario: An entry that shuts down without agents lets callers try another one
    Given both streams close
    And the entry shuts down in 5000 ms
    When job "j1" of 1 tasks of 3000 and 200 ms arrives
    Then "j1" is refused as "given-up" for "leaving"

  # Guards against a caller that never comes back: its job waited for resources until the end of the entry.
  Scenario: A job that waits at the end of its entry is left to another one
    Given agent "a1" is full with a wait of 40 ms
    And agent "a2" is full with a wait of 50 ms
    When job "j1" of 1 tasks of 3000 arrives
    And the entry gives up "j1" at its end
    Then "j1" is refused as "given-up" for "leaving"

  Scenario: More urgent work is admitted while less urgent is refused
    Given agent "a1" is full with a wait of 40 ms
    And agent "a2" is full with a wait of 50 ms
    When 60 jobs of 4 tasks of 3000 arrive
    And urgent job "u1" of 1 tasks of 3000 arrives
    Then "u1" has no answer

  Scenario: A job that finds room runs, though only a slow worker has it
    Given agents "a1 a2 a3" with 10000 thousandths of a core each
    And agent "a1" is full with a wait of 500 ms
    And agent "a2" is full with a wait of 500 ms
    And agent "a3" is 2.5 times as slow
    When job "j1" of 1 tasks of 3000 arrives
    Then "j1" has no answer
    And agent "a3" has 1 tasks

  Scenario: A task without room is not offered to a slow worker, nor where it was given up
    Given agents "a1 a2 a3 a4" with 10000 thousandths of a core each
    And agent "a4" is 4.5 times as slow
    When job "j1" of 1 tasks of 3000 arrives
    And agent "a1" is full with a wait of 20 ms
    And agent "a2" is full with a wait of 20 ms
    And agent "a3" is full with a wait of 20 ms
    And agent "a4" is full with a wait of 20 ms
    And task 0 of "j1" ends as "abandoned"
    Then task 0 of "j1" is offered tentatively to 2 agents, not where it was nor to "a4"
    When agent "a4" has free resources again
    Then task 0 of "j1" is offered tentatively to 2 agents, not where it was nor to "a4"

  Scenario: A job waits for all of its slack while its urgency asks for little
    Given agents "a1" with 10000 thousandths of a core each
    And agent "a1" is full with a wait of 5 ms
    When 8 jobs of 1 tasks of 3000 arrive
    Then 5 of them are admitted

  Scenario: In a flood of its own urgency, a job waits for a part of its slack at most
    Given agents "a1" with 10000 thousandths of a core each
    And agent "a1" is full with a wait of 5 ms
    And work of 60 percent of the capacity was admitted recently
    When 8 jobs of 1 tasks of 3000 arrive
    Then 3 of them are admitted

  Scenario Outline: Work of other entries that <how> counts, instead of a guess from this entry's own
    Given agents "a1" with 10000 thousandths of a core each
    And agent "a1" is full with a wait of 5 ms
    And other entries have <used> thousandths of a core in use and <queued> ms of the capacity queued at "a1"
    When 8 jobs of 1 tasks of 3000 arrive
    Then <admitted> of them are admitted

    Examples:
      | how                    | used | queued | admitted |
      | does not exist         | 0    | 0      | 5        |
      | waits                  | 0    | 100    | 1        |
      | waits past all slack   | 0    | 130    | 0        |
      | runs on most cores     | 6000 | 0      | 3        |

  Scenario: Less urgent work of other entries does not delay a job
    Given agents "a1" with 10000 thousandths of a core each
    And agent "a1" is full with a wait of 5 ms
    And other entries have 1000 ms of the capacity queued at "a1" for less urgent work
    When 8 jobs of 1 tasks of 3000 arrive
    Then 5 of them are admitted

  Scenario: Agents that are about to tell their load count as capacity
    Given agents "a1" with 10000 thousandths of a core each
    And agent "a1" is full with a wait of 5 ms
    And 4 agents are known and expected to connect again
    When 8 jobs of 1 tasks of 3000 arrive
    Then 8 of them are admitted

  Scenario: Work for one target does not make that for another wait
    Given agents "a1 a2" with 10000 thousandths of a core each
    And agent "a1" is full with a wait of 5 ms
    And agent "a2" is full with a wait of 5 ms
    And agent "a2" serves target "other"
    When 8 jobs of 1 tasks of 3000 arrive
    Then 5 of them are admitted
    When job "j1" of 1 tasks of 3000 for target "other" arrives
    Then "j1" has no answer

  Scenario Outline: What becomes of a task that did not succeed
    When job "j1" of 1 tasks of 3000 arrives
    And task 0 of "j1" ends as "<end>"
    Then task 0 of "j1" is offered again as run <run>, <where>

    Examples:
      | end         | run | where             |
      | failed      | 2   | at another agent  |
      | abandoned   | 2   | at another agent  |
      | lost        | 2   | at any agent      |
      | lapsed      | 2   | at any agent      |
      | not-started | 1   | at any agent      |

  Scenario: A job that can't be done fails after its attempts
    When job "j1" of 1 tasks of 3000 arrives
    And task 0 of "j1" ends as "failed"
    And task 0 of "j1" ends as "failed"
    And task 0 of "j1" ends as "failed"
    Then "j1" is answered "failed"

  Scenario: A task at a lost agent starts elsewhere only when no run of it can be left
    When job "j1" of 1 tasks of 3000 arrives
    And the stream to the agent of "j1" closes
    Then task 0 of "j1" is not offered again within 1200 ms
    And task 0 of "j1" is offered again within 1400 ms

  # Guards against two runs of a task: an entry that was cut off placed it again, beside its run for the entry that its caller had turned to.
  Scenario: An entry without contact to any agent gives up its jobs before their callers submit them elsewhere
    When job "j1" of 1 tasks of 3000 arrives
    And both streams close
    And 550 ms go by at the entry
    Then "j1" is answered "given-up"
    When agent "a1" returns
    Then task 0 of "j1" is not offered again within 3000 ms

  # Guards against refusing what arrives while agents are expected back.
  Scenario: A job that arrives after the loss of all agents waits for them
    When job "j1" of 1 tasks of 3000 arrives
    And both streams close
    And 600 ms go by at the entry
    And job "j2" of 1 tasks of 3000 and 2000 ms arrives
    And 150 ms go by at the entry
    Then "j1" is answered "given-up"
    And "j2" has no answer

  # Guards against giving up jobs for a short loss.
  Scenario: An entry that regains an agent within the contact time keeps its jobs
    When job "j1" of 1 tasks of 3000 arrives
    And both streams close
    And 500 ms go by at the entry
    And agent "a1" returns
    And 500 ms go by at the entry
    Then "j1" has no answer

  # Guards against a second run: an entry took up its jobs after a cut that it had begun to count late, and their callers submitted them elsewhere.
  Scenario: An entry that regains an agent after the contact time has given up its jobs
    When job "j1" of 1 tasks of 3000 arrives
    And both streams close 500 ms after the last contact
    And agent "a1" returns after 100 ms
    Then "j1" is answered "given-up"
    And task 0 of "j1" is not offered again within 3000 ms

  # Guards against giving up jobs that wait for agents while callers reach the entry.
  Scenario: An entry that hears its callers keeps the jobs that came after it lost its agents
    When both streams close
    And 10 ms go by at the entry
    And job "j1" of 1 tasks of 3000 and 2000 ms arrives
    And callers are heard every 100 ms for 600 ms
    Then "j1" has no answer

  # Guards against a second run for one caller that was cut off with the agents, as others were still heard.
  Scenario: An entry without agents gives up its earlier jobs though it hears callers
    When job "j1" of 1 tasks of 3000 arrives
    And both streams close
    And callers are heard every 200 ms for 600 ms
    Then "j1" is answered "given-up"

  # Guards against the end of an earlier run that is taken for a refusal of the present offer, which is then made twice.
  Scenario: The end of an earlier run leaves the present offer standing
    Given agent "a1" is full with a wait of 30 ms
    And agent "a2" is full with a wait of 30 ms
    When job "j1" of 1 tasks of 3000 and 60000 ms arrives
    And agent "a1" reports the end of run 0 of task 0 of "j1"
    Then task 0 of "j1" still has its offer at "a1"

  # Guards against counting a cut from the loss of the last stream, which is noticed late.
  Scenario: An entry without contact to any agent counts from when it last heard one
    When job "j1" of 1 tasks of 3000 arrives
    And both streams close 500 ms after the last contact
    And 50 ms go by at the entry
    Then "j1" is answered "given-up"

  Scenario: An agent that is back is asked about its tasks
    When job "j1" of 1 tasks of 3000 arrives
    And the stream to the agent of "j1" closes
    And the stream to that agent opens again
    Then task 0 of "j1" is claimed there
    And task 0 of "j1" is not offered again within 3000 ms

  Scenario: A copy of a submission joins the job
    When job "j1" of 1 tasks of 3000 arrives
    And job "j1" of 1 tasks of 3000 arrives
    Then 1 tasks are offered directly

  Scenario: A step starts when the earlier ones are done
    When job "j1" of two steps arrives
    Then 1 tasks are offered directly
    When task 0 of "j1" ends as "done"
    Then 2 tasks are offered directly

  Scenario: A job waits for agents that are about to return, within its objective
    Given both streams close
    When job "j1" of 1 tasks of 3000 and 1000 ms arrives
    Then "j1" has no answer
    When agent "a1" returns
    Then 1 tasks are offered directly

  Scenario: A short job does not wait for agents that are about to return
    Given both streams close
    When job "j1" of 1 tasks of 3000 and 50 ms arrives
    Then "j1" is answered "not-run"

  Scenario: At most as many tasks of a step at one worker as it allows
    When job "j1" of 3 tasks of 1000 with at most 1 at one worker arrives
    Then agent "a1" has 1 tasks
    And agent "a2" has 1 tasks

  Scenario: Run times are learned in spite of estimates that are far off
    When 100 jobs estimated at 20 to 2000 ms have run for 100 ms
    Then a task estimated at 20 ms is expected to run for 90 to 110 ms
    And a task estimated at 2000 ms is expected to run for 90 to 110 ms

Feature: Agents that have restarted
  An agent keeps no records over a restart. What it does not know of may have run before, so only a record shows that it has not.

  Background:
    Given an entry and an agent whose worker has 10000 thousandths of a core and the label "b"
    And another worker that is too small and has the label "b"

  # Guards against the answer "has not run" for a task that has started: its agent and its worker had both lost their records.
  Scenario Outline: A task that was lost with its agent and its worker may have run
    When a job with a task of 4000 that requires the label "b" is started
    And agent and worker restart, and the worker has the target "<target>", the label "<label>" and <cpu> thousandths of a core
    And 3000 ms go by for the entry and the agent
    Then the caller is answered "given-up" for "no-worker", by the evidence "unrecorded"
    And the agent has reported the ends "lost"

    Examples:
      | target | label | cpu   |
      | desk   | a     | 10000 |
      | other  | b     | 10000 |
      | desk   | b     | 3000  |

  # Guards against two runs under one number, of which the later one is taken for the earlier one.
  Scenario: A task that was lost with its agent and its worker starts again under the next number
    When a job with a task of 4000 that requires the label "b" is started
    And agent and worker restart, and the worker has the target "desk", the label "b" and 10000 thousandths of a core
    Then the worker was told to start the runs "1 2"

  # Guards against an agent that is avoided as one that refuses tasks, although it has only come back.
  Scenario: An agent that has lost a task is not avoided
    When a job with a task of 4000 that requires the label "b" is started
    And agent and worker restart, and the worker has the target "desk", the label "b" and 10000 thousandths of a core
    Then the entry does not avoid the agent

  # Guards against the same for a run whose end the worker was told to forget before the entry knew of it.
  Scenario: A task of which only its agent has lost the record may have run
    When a job with a task of 4000 that requires the label "b" is started
    And the agent restarts, and its worker lists nothing
    Then the agent has reported the ends "lost"
    And the worker was told to start the runs "1 2"

  # Guards against an answer that changes once the first one was lost with its stream.
  Scenario: The report of a lost task is lost too
    When a job with a task of 4000 that requires the label "b" is started
    And the reports of the agent get lost
    And agent and worker restart, and the worker has the target "desk", the label "a" and 10000 thousandths of a core
    And the reports of the agent arrive again
    And the stream between entry and agent opens anew
    And 3000 ms go by for the entry and the agent
    Then the agent has reported the ends "lost lost"
    And the caller is answered "given-up" for "no-worker", by the evidence "unrecorded"

  # Guards against a run that counts as unstarted as its end was dropped from the agent's memory.
  Scenario: The agent has ended so many tasks since that it has dropped some of their ends
    When the messages to the agent get lost
    And a job with a task of 4000 that requires the label "b" is offered
    And the agent has ended 1001 other tasks
    And the messages to the agent arrive again
    And the stream between entry and agent opens anew
    Then the agent has reported the ends "lost"

  # Guards against "may have run" for what certainly has not: its caller would submit the job again.
  Scenario: An offer that got lost on its way to an agent with all of its records has not run
    When the messages to the agent get lost
    And a job with a task of 4000 that requires the label "b" is offered
    And the worker tells the target "desk", the label "a" and 10000 thousandths of a core
    And the messages to the agent arrive again
    And the stream between entry and agent opens anew
    And 3000 ms go by for the entry and the agent
    Then the agent has reported the ends "not-started"
    And the caller is answered "not-run" for "no-worker", by the evidence "not-started"

  # Guards against the same for what only waited at the agent that has restarted.
  Scenario: A task that waited at an agent that has restarted has not run
    When another job takes the whole worker
    And a job with a task of 4000 that requires the label "b" is offered
    And agent and worker restart, and the worker has the target "desk", the label "a" and 10000 thousandths of a core
    And 3000 ms go by for the entry and the agent
    Then the caller is answered "not-run" for "no-worker", by the evidence "no-order"

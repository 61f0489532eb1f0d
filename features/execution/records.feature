Feature: Start records of an agent
  An agent starts each task at most once and reports a task as "not-started" only if its records prove it.

  Scenario Outline: A task arrives <when>
    Given start records with a window of 1000 ms
    And <history>
    When attempt <attempt> of the task arrives <when>
    Then the agent answers "<answer>"

    Examples:
      | history                                           | attempt | when                  | answer                |
      | nothing before                                    | 1       | in time               | queue                 |
      | the task was queued                               | 1       | in time               | pending               |
      | the task was started                              | 1       | in time               | pending               |
      | the task was started                              | 2       | in time               | pending               |
      | the task ended                                    | 1       | in time               | done                  |
      | the task ended and its home has the result        | 1       | in time               | unknown expired       |
      | the task was refused                              | 1       | in time               | not-started queue-full |
      | the task was refused                              | 2       | in time               | queue                 |
      | the job was dropped                               | 1       | in time               | not-started cancelled |
      | the task was refused and the job was dropped      | 2       | in time               | not-started queue-full |
      | nothing before                                    | 1       | after the window      | unknown expired       |
      | the task ended and the records were pruned        | 1       | after the window      | unknown expired       |
      | the records are full                              | 1       | in time               | not-started queue-full |

  Scenario: A running task keeps its record beyond the window
    Given start records with a window of 1000 ms
    And the task was started
    When the records are pruned after the window
    And attempt 1 of the task arrives after the window
    Then the agent answers "pending"

  Scenario: A task cannot be started twice
    Given start records with a window of 1000 ms
    And the task was started
    Then starting it again violates an invariant

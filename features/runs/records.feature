Feature: Work of an agent while many tasks wait
  In a burst, each entry offers its waiting tasks to several agents. Each message must then cost an agent time that
  grows with the number of waiting tasks at the most, not with its square.

  Scenario Outline: A message while many tasks of several entries wait
    Given an agent at which <tasks> tasks of 4 entries wait for a run
    When <message>
    Then each waiting task is looked at 12 times at the most

    Examples:
      | tasks | message                       |
      | 100   | an entry withdraws a task     |
      | 1000  | an entry withdraws a task     |
      | 1000  | an entry offers another task  |
      | 1000  | the agent computes its load   |

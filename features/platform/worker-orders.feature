Feature: Orders to a worker
  An order that arrives late, at another worker that has taken the address of the one it was meant for, starts nothing.

  # Guards against a late start at the worker that replaced the intended one, beside a run of the task elsewhere.
  Scenario Outline: A start names the worker that it is meant for
    Given worker "w2" at the address of worker "w1"
    When a start for <worker> is sent there
    Then it is answered "<answer>"

    Examples:
      | worker      | answer       |
      | worker "w1" | other-worker |
      | worker "w2" | started      |
      | any worker  | started      |

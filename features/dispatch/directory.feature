Feature: The worker that an agent stores
  After a restart, an agent relies on the worker that it has stored: its state, and its capacity at the most.

  # Guards against a worker that is used after its agent's restart although it shuts down: the write failed and was not repeated.
  Scenario Outline: A write that fails is repeated until the store has the worker
    Given an agent's directory in a store
    And the next <count> writes fail as "<kind>"
    When the directory is told a worker with a capacity of 4000
    And 5000 ms go by at the directory
    Then the store has a worker with a capacity of 4000

    Examples:
      | kind        | count |
      | unavailable | 3     |
      | unknown     | 2     |

  # Guards against a key that is never written again: a write was carried out, but its answer was lost.
  Scenario: A write whose answer was lost does not keep the next one from being stored
    Given an agent's directory in a store
    And the answer to the next write is lost
    When the directory is told a worker with a capacity of 4000
    And 1000 ms go by at the directory
    And the directory is told a worker with a capacity of 2000
    And 5000 ms go by at the directory
    Then the store has a worker with a capacity of 2000

  # Guards against an old worker in the store: the heartbeat came before the store had answered, and was not written later.
  Scenario: A heartbeat from before the directory was read is stored afterwards
    Given an agent's directory in a store with a worker of a capacity of 9000 from before
    And the store answers only after 3000 ms
    When the directory is told a worker with a capacity of 4000
    And 8000 ms go by at the directory
    Then the store has a worker with a capacity of 4000

  # Guards against needless calls to the store.
  Scenario: A heartbeat that tells what is stored causes no write
    Given an agent's directory in a store with a worker of a capacity of 9000 from before
    And the store answers only after 3000 ms
    When the directory is told a worker with a capacity of 9000
    And 8000 ms go by at the directory
    Then the store was written 0 times
    When the directory is told a worker with a capacity of 9000
    And 8000 ms go by at the directory
    Then the store was written 0 times

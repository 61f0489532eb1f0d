Feature: Idempotency keys of callers
  Every entry finds the same home for a key, so that the tasks of the key start at most once.

  Scenario Outline: Shapes of keys
    Then the idempotency key "<key>" is <verdict>

    Examples:
      | key                                   | verdict  |
      | 018f3a5c-7b1e-7cc3-98c4-dc0c0c07398f  | accepted |
      | 018F3A5C-7B1E-7CC3-98C4-DC0C0C07398F  | accepted |
      | 018f3a5c-7b1e-4cc3-98c4-dc0c0c07398f  | refused  |
      | 018f3a5c-7b1e-7cc3-18c4-dc0c0c07398f  | refused  |
      | 018f3a5c7b1e7cc398c4dc0c0c07398f      | refused  |
      | 018f3a5c-7b1e-7cc3-98c4-dc0c0c07398f0 | refused  |
      | order-17                              | refused  |

  Scenario Outline: A key is submitted while things fail
    Given 2 entries with key tables and 6 homes
    When <event>
    Then the entries found "<owners>" for the key
    And the callers of the key received "<answers>", and its tasks started <starts> times

    Examples:
      | event                                                           | owners        | answers           | starts |
      | the key arrives at two entries at the same moment               | home home     | complete complete | 2      |
      | the key arrives again after its answer was lost                 | home home     | complete          | 2      |
      | the key arrives again in other epochs                           | home home     | complete complete | 2      |
      | the key arrives again after its home died                       | home home     | complete          | 2      |
      | the key arrives again after its home restarted                  | home home     | complete unknown  | 2      |
      | the key arrives after its home restarted                        | home          | unknown           | 0      |
      | the key arrives again after the window                          | home expired  | complete          | 2      |
      | the key arrives at an entry that is cut off with an older table | home home     | complete complete | 2      |
      | the key arrives where only another entry knows its epoch        | unproved home | complete          | 2      |
      | the caller's clock is 400 ms ahead                              | home          | complete          | 2      |
      | the caller's clock is 3000 ms ahead                             | home          | not-run           | 0      |
      | the caller's clock is 60000 ms ahead                            | not-granted   |                   | 0      |
      | the caller's clock is 60000 ms ahead and the store is down      | unproved      |                   | 0      |
      | the caller's clock is 60000 ms ahead and the store is stale     | unproved      |                   | 0      |
      | the caller's clock is 60000 ms behind                           | expired       |                   | 0      |
      | the store is down for 2000 ms                                   | home          | complete          | 2      |
      | the store is down for 9000 ms                                   | unproved      |                   | 0      |
      | the store is back after 9000 ms                                 | unproved home | complete          | 2      |
      | the answers of three writes of the table are lost               | home home     | complete complete | 2      |

  Scenario: Two entries extend the table at once
    Given 2 entries without jitter and 6 homes
    When the key fleet runs for 20000 ms
    Then both entries have the table of the store

  Scenario: A table that changes a known epoch is refused, and not written over
    Given 2 entries with key tables and 6 homes
    When another process changes the homes of the latest epoch in the store
    And the key fleet runs for 3000 ms
    Then the entries keep their table and do not write to the store

  Scenario: The table stays small, and its homes are spread over data centres
    Then an epoch of 1500 agents in 4 data centres has 16 homes in each, and the table of a one-hour window is under 1 MB

  Scenario Outline: Calls to the store
    Given <entries> entries with the default settings and 20 homes
    When the key fleet runs for 600000 ms
    Then the entries made at most <writes> writes and <calls> calls a minute to the store

    Examples:
      | entries | writes | calls |
      | 3       | 15     | 60    |
      | 10      | 20     | 180   |

  Scenario Outline: Random faults
    When keys are submitted at 4 entries for 120 s under random faults with seed <seed>
    Then no key had two homes and no epoch changed throughout the run

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

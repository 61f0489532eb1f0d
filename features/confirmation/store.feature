Feature: What the store tells of the age of a configuration
  An entry knows since when nothing has confirmed that its configuration is the newest, and logs it.

  Background:
    Given an entry that has read version 3 from the store

  # Guards against an entry that can't tell "no change" from "no word".
  Scenario: Each answer of the store confirms the configuration as of the time when the call was sent
    When 1000 ms go by for the watching entry
    Then its configuration is unconfirmed for 1000 ms
    When 100 ms go by for the watching entry
    Then its configuration is unconfirmed for 1100 ms
    When 1000 ms go by for the watching entry
    Then its configuration is unconfirmed for 1050 ms
    And no loss of the store is logged

  # Guards against `store-regained` in the log although nothing was read, which hid that an entry had lost the store.
  Scenario: A watch that starts anew is no answer of the store
    When the store leaves all calls without an answer
    And 4000 ms go by for the watching entry
    Then the loss of the store is logged once
    When the entry loses a stream to another process
    And 500 ms go by for the watching entry
    Then the loss of the store is logged once
    And its configuration is unconfirmed for 4500 ms
    When the store answers again at once
    And 2000 ms go by for the watching entry
    Then the store is logged as regained once

  # Guards against an entry on a slow link that never reads its configuration: each stream lost there made it begin anew.
  Scenario: A read goes on when a stream is lost
    When the store leaves all calls without an answer
    And 1850 ms go by for the watching entry
    And the store takes 900 ms to answer a read
    And 500 ms go by for the watching entry
    And the entry loses a stream to another process
    And 450 ms go by for the watching entry
    Then the store is logged as regained once

  # Guards against an entry that stays unconfirmed for one more watch after a pause of its process.
  Scenario: After a watch whose answer was delayed the entry reads at once
    When the next answer to a watch takes 2500 ms longer
    And 3600 ms go by for the watching entry
    Then its configuration is unconfirmed for 50 ms
    And no loss of the store is logged

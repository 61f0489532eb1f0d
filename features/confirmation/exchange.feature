Feature: Entries confirm their configuration to each other
  An entry that the store does not answer learns from the other entries whether its configuration is the newest. Only if it can't
  know, it must not answer callers by it.

  # Guards against refusals at entries that the store turns away while it serves the others.
  Scenario: An entry that the store turns away is confirmed by another one
    Given entries "e1 e2 e3" with streams to each other, and a bound of 3000 ms
    When the store turns away "e2 e3"
    And 20 s go by at the entries
    Then "e1 e2 e3" have been "confirmed" all the while

  # Guards against confirmations that only a neighbour of an entry which reaches the store can give.
  Scenario: A confirmation is passed on
    Given entries "e1 e2 e3" with streams to each other, and a bound of 2000 ms
    And "e1" and "e3" have lost their stream
    When the store turns away "e2 e3"
    And 20 s go by at the entries
    Then "e1 e2 e3" have been "confirmed" all the while

  # Guards against a version that stays in force at an entry which the store turns away.
  Scenario: A new version reaches entries that the store turns away
    Given entries "e1 e2 e3" with streams to each other, and a bound of 2000 ms
    When the store turns away "e2 e3"
    And an operator writes version 9
    And 1 s go by at the entries
    Then "e1 e2 e3" have version 9

  # Guards against news that are lost: the announcement was written before the change, and arrives after it.
  Scenario: A version that changes while a stream opens
    Given entries "e1 e2" without streams, and a bound of 3000 ms
    When the store turns away "e2"
    And "e1" and "e2" write their announcements
    And an operator writes version 9
    And the announcements arrive
    And 1 s go by at the entries
    Then "e1 e2" have version 9

  # Guards against an outage of the store that ends the service.
  Scenario: Entries that the store answers no more serve on together
    Given entries "e1 e2 e3" with streams to each other, and a bound of 3000 ms
    When the store turns away "e1 e2 e3"
    And 10 s go by at the entries
    Then "e1 e2 e3" are "store-silent"
    When the store answers "e2"
    And 1 s go by at the entries
    Then "e1 e2 e3" are "confirmed"

  # Guards against answers by a replaced configuration beside an entry that has a newer one.
  Scenario: An entry that knows of a newer version and does not get it
    Given entries "e1 e2" with streams to each other, and a bound of 3000 ms
    When the store turns away "e2"
    And texts of configurations are lost
    And an operator writes version 9
    And 4 s go by at the entries
    Then "e1" are "confirmed"
    And "e2" are "superseded"

  # Guards against answers by a replaced configuration at entries that are cut off with a part of the others.
  Scenario Outline: Entries that reach neither the store nor <lost> of <others> others
    Given an entry with <others> other entries that may live, and a bound of 3000 ms
    When nothing has confirmed its configuration for <age> ms, nor at <answering> others
    Then it is "<state>"

    Examples:
      | others | lost | answering | age  | state        |
      | 8      | 8    | 0         | 3000 | confirmed    |
      | 8      | 8    | 0         | 3001 | isolated     |
      | 8      | 5    | 3         | 3001 | isolated     |
      | 8      | 4    | 4         | 3001 | store-silent |
      | 3      | 2    | 1         | 3001 | isolated     |
      | 3      | 1    | 2         | 3001 | store-silent |
      | 1      | 1    | 0         | 3001 | isolated     |
      | 1      | 0    | 1         | 3001 | store-silent |
      | 0      | 0    | 0         | 3001 | store-silent |

  # Guards against an old answer that counts as word from an entry which does not answer any more.
  Scenario: The answer of another entry counts for half of the bound
    Given an entry with 1 other entries that may live, and a bound of 3000 ms
    When nothing has confirmed its configuration for 3001 ms, nor at 1 others
    And 1501 ms later no other entry has answered again
    Then it is "isolated"

  # Guards against a confirmation that is forgotten with the stream over which it came, or with the next report of its entry.
  Scenario Outline: What another entry has confirmed holds on
    Given an entry with 1 other entries that may live, and a bound of 3000 ms
    When nothing has confirmed its configuration for 5000 ms, nor at 0 others
    And another entry with version <version> tells that nothing has confirmed it for <age> ms
    And <event>
    Then it is "<state>"

    Examples:
      | version | age  | event                                                                       | state        |
      | 7       | 1000 | the stream to it is lost                                                    | confirmed    |
      | 6       | 1000 | the stream to it is lost                                                    | confirmed    |
      | 7       | 1000 | another entry with version 9 tells that nothing has confirmed it for 100 ms | confirmed    |
      | 9       | 1000 | the stream to it is lost                                                    | isolated     |
      | 7       | 3500 | the stream to it is lost                                                    | isolated     |
      | 7       | 3500 | another entry with version 9 tells that nothing has confirmed it for 100 ms | superseded   |

  # Guards against messages that a fleet in order would pay for.
  Scenario: Entries that the store answers ask nobody
    Given entries "e1 e2 e3" with streams to each other, and a bound of 2000 ms
    When 60 s go by at the entries
    Then no entry has asked another one

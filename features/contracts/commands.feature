Feature: Contract commands
  A change is applied once, and the operator gets its actual outcome.

  Background:
    Given operator "ana" has applied a contract of "hill-country" with rate 100

  Scenario Outline: The answer to a write is lost, or the store is out
    Given <fault>
    When operator "ana" applies a contract of "hill-country" with rate 200
    Then the exit code is <exit> and the operator reads "<text>"
    And after 60 s the history has <changes> changes, each of another id

    Examples:
      | fault                                                    | exit | text                                                   | changes |
      | the store loses the answer to the next write             | 0    | is accepted as revision 2                              | 2       |
      | the store loses the next 2 writes before they take effect | 0   | is accepted as revision 2                              | 2       |
      | the store refuses calls for 5 s                                | 0    | is accepted as revision 2                              | 2       |
      | the store refuses calls for 30 s                               | 3    | was not written: store is down                         | 1       |
      | the store hangs for 30 s                                 | 3    | was not written: no answer within 2000 ms              | 1       |
      | the store refuses calls for 30 s after the next write          | 4    | it is not known whether the change                     | 2       |
      | the store refuses calls for 5 s after the next write           | 0    | is accepted as revision 2                              | 2       |
      | the store takes 6000 ms from the next write on, for 5 s  | 0    | is accepted as revision 2                              | 2       |
      | the store takes 6000 ms from the next write on, for 30 s | 4    | it is not known whether the change                     | 2       |
      | the store answers 1 read with an older revision          | 1    | operator "ana" applied it at revision 1                | 1       |
      | the store holds a damaged document                       | 2    | document in the store is damaged: $.contracts          | 0       |

  Scenario: A lost answer is resolved by the fleet while the store is down
    Given the store refuses calls for 30 s after the next write
    And the entry has in force what is in the store
    When operator "ana" applies a contract of "hill-country" with rate 200
    Then the exit code is 0 and the operator reads "is accepted as revision 2"

  Scenario Outline: Another operator writes between reading and writing
    Given operator "bob" <change> before the next write
    When operator "ana" applies a contract of "hill-country" with rate 200
    Then the exit code is <exit> and the operator reads "<text>"
    And after 1 s the history has <changes> changes, each of another id

    Examples:
      | change                                             | exit | text                                           | changes |
      | applies a contract of "scarita" with rate 300      | 0    | is accepted as revision 3                      | 3       |
      | applies a contract of "hill-country" with rate 300 | 1    | operator "bob" applied it at revision 2        | 2       |
      | applies a contract of "hill-country" with rate 300 | 1    | $.rate: 100 -> 300                             | 2       |
      | removes the contract of "hill-country"             | 1    | operator "bob" removed it at revision 2        | 2       |

  Scenario: A change based on a revision that was overtaken is not written
    Given operator "bob" has applied a contract of "hill-country" with rate 300
    When operator "ana" applies a contract of "hill-country" with rate 200 and options "--base-revision 1"
    Then the exit code is 1 and the operator reads "$.rate: 100 -> 300"
    When operator "ana" applies a contract of "hill-country" with rate 200 and options "--base-revision 2"
    Then the exit code is 0 and the operator reads "is accepted as revision 3"

  Scenario: A bad contract is refused without a call to the store
    When operator "ana" applies a contract of "hill-country" with rate -1
    Then the exit code is 2 and the operator reads "$.rate: Too small: expected number to be >=0.1 (value: -1)"
    And no call was made to the store

  Scenario Outline: Waiting until a change is in force
    Given the processes <processes>
    When operator "ana" applies a contract of "hill-country" with rate 200 and options "--wait --entry 127.0.0.1:7100"
    Then the exit code is <exit> and the operator reads "<text>"

    Examples:
      | processes                               | exit | text                                         |
      | entry-0 (2), agent-0 (2)                | 0    | revision 2 is in force on 2 of 2 processes   |
      | entry-0 (2), agent-0 (none)             | 3    | no answer: agent-0                           |
      | entry-0 (2), agent-0 (1), agent-1 (2)   | 3    | at an older revision: agent-0 (1)            |
      | entry-0 (9), agent-0 (2)                | 3    | revision 9 is known                          |

  Scenario: Looking, and going back as a new change
    Given operator "bob" has applied a contract of "hill-country" with rate 300
    When operator "ana" runs "history hill-country"
    Then the exit code is 0 and the operator reads "bob  applied hill-country"
    When operator "ana" runs "restore hill-country 1"
    Then the exit code is 0 and the operator reads "is accepted as revision 3"
    When operator "ana" runs "show hill-country"
    Then the exit code is 0 and the operator reads ""rate": 100"
    When operator "ana" runs "show hill-country 2"
    Then the exit code is 0 and the operator reads ""rate": 300"
    When operator "ana" runs "remove hill-country"
    Then the exit code is 0 and the operator reads "is accepted as revision 4"
    When operator "ana" runs "show hill-country"
    Then the exit code is 2 and the operator reads "has no contract; known: none"
    When operator "ana" runs "restore scarita 2"
    Then the exit code is 2 and the operator reads "history has no contract of customer "scarita" at revision 2"
    When operator "ana" runs "list"
    Then the exit code is 0 and the operator reads "CUSTOMER"

  Scenario: An entry that does not answer
    When operator "ana" applies a contract of "hill-country" with rate 200 and options "--entry 127.0.0.1:7100"
    Then the exit code is 3 and the operator reads "process at 127.0.0.1:7100 does not answer"

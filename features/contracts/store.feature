Feature: Client of the store
  The client distinguishes a call that had no effect from one whose effect is unknown.

  Scenario Outline: A call to the store under a fault
    Given the store has key "a" at revision 1
    And the store's fault is <fault>
    When the client <call>
    Then the result is <result>
    And the key is at revision <revision> afterwards

    Examples:
      | fault                 | call                                     | result               | revision |
      | {}                    | reads "a"                                | revision 1           | 1        |
      | {}                    | reads "b"                                | revision 0           | 1        |
      | {}                    | writes "a" at revision 1                 | revision 2           | 2        |
      | {}                    | writes "a" at revision 0                 | conflict             | 1        |
      | {}                    | watches "a" after revision 0             | revision 1           | 1        |
      | {}                    | watches "a" after revision 1             | revision 1           | 1        |
      | {}                    | watches "a" while another writes it      | revision 2           | 2        |
      | {"outage":true}       | reads "a"                                | unavailable          | 1        |
      | {"outage":true}       | writes "a" at revision 1                 | unavailable          | 1        |
      | {"hang":true}         | writes "a" at revision 1                 | unknown              | 1        |
      | {"delayMs":600}       | writes "a" at revision 1                 | unknown              | 2        |
      | {"loseWriteAnswers":1} | writes "a" at revision 1                | unknown              | 2        |
      | {"loseWrites":1}      | writes "a" at revision 1                 | unknown              | 1        |
      | {"staleReads":1}      | reads "a"                                | revision 0           | 1        |
      | {}                    | watches "a" while the store goes down    | unknown              | 1        |
      | {}                    | writes "a" after the store has stopped   | unavailable          | 1        |

  Scenario: A key ends with its lease
    Given the store has key "a" at revision 1
    And key "c" was written under a lease
    When the leases lapse
    Then key "c" is absent and key "a" is at revision 1

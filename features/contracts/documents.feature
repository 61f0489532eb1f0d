Feature: Contracts and their document
  A contract is checked before it is written; each change makes a document with the next revision.

  Scenario: A contract of few keys gets defaults
    Given the contract {"customer":"hill-country","kinds":{"booking":{}}}
    Then it is accepted with maxTasksPerJob 760 and deadline 5000 of kind "booking"

  Scenario Outline: A bad contract is refused with path, rule and value
    Given the contract <contract>
    Then it is refused with "<fault>"

    Examples:
      | contract                                                                      | fault                                                       |
      | {"customer":"Hill Country","kinds":{"booking":{}}}                            | $.customer: must be 1 to 63 lower-case letters              |
      | {"customer":"__proto__","kinds":{"booking":{}}}                               | $.customer: must be 1 to 63                                 |
      | {"customer":"hill","kinds":{}}                                                | $.kinds: must name at least one kind (value: {})            |
      | {"customer":"hill"}                                                           | $.kinds: Invalid input                                      |
      | {"customer":"hill","kinds":{"a":{"urgency":"asap"}}}                          | $.kinds.a.urgency: Invalid option                           |
      | {"customer":"hill","kinds":{"a":{"deadlineMs":1}}}                            | $.kinds.a.deadlineMs: Too small: expected number to be >=10 |
      | {"customer":"hill","kinds":{"a":{}},"maxTasksPerJob":761}                     | $.maxTasksPerJob: Too big: expected number to be <=760      |
      | {"customer":"hill","kinds":{"a":{}},"burst":100}                              | $.burst: must be at least maxTasksPerJob, which is 760      |
      | {"customer":"hill","kinds":{"a":{}},"weigth":2}                               | $.weigth: no such key (value: 2)                            |
      | {"customer":"hill","kinds":{"a":{}},"tokenDigests":["abc"]}                   | $.tokenDigests[0]: must be a SHA-256 digest                 |
      | {"customer":"hill"                                                            | contract is not JSON                                        |

  Scenario: A document of a newer release is served
    Given a document whose contract has the unknown key "colour"
    Then it is accepted and keeps the key "colour"

  Scenario: The history is bounded
    Given a document with 250 changes of "hill-country"
    Then its revision is 250 and its history holds 200 changes

  Scenario: A large history is shortened, and a document that is too large is refused
    Given a document with 190 changes of "hill-country" with 64 kinds of long names
    Then its size is at most 900000 bytes and its history holds less than 190 changes
    And contracts of 64 kinds of long names are refused as "too-large" before 300 customers have one

  Scenario Outline: A process moves only to a newer version
    Given a process with revision 5 in force
    When it is offered <offer>
    Then the result is "<result>" and revision <revision> is in force

    Examples:
      | offer                                        | result   | revision |
      | revision 6                                   | applied  | 6        |
      | revision 4                                   | older    | 5        |
      | revision 5 with its keys in another order    | same     | 5        |
      | revision 5 with other content                | conflict | 5        |

  Scenario: Two documents of one revision settle on the same one everywhere
    Given two documents of revision 5
    Then processes that are offered both in either order have the same one in force

  Scenario: A token finds its contract only
    Given contracts of "hill-country" with token "alpha" and of "scarita" with token "beta"
    Then the tokens find
      | token | customer     |
      | alpha | hill-country |
      | beta  | scarita      |
      | gamma |              |
      |       |              |

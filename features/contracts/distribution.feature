Feature: Distribution of contracts
  An accepted change is in force on every process within 3 s, never reverts, and stays in force during outages.

  Background:
    Given 2 entries and 9 agents in 2 data centres
    And revision 1 is in force everywhere

  Scenario Outline: A change is in force within 3 s despite a fault
    Given <fault>
    When an operator applies a change
    Then revision 2 is in force everywhere within 3000 ms

    Examples:
      | fault                                              |
      | no fault                                           |
      | the store loses the next 1 answers to writes       |
      | the store loses the next 2 writes                  |
      | the store takes 400 ms                             |
      | a process joins                                    |
      | all watching agents crash                          |
      | the store has been down for 60 s                   |

  Scenario: An operator who asks the fleet is not misled by a store that answers an older revision
    Given the store answers 6 reads with an older revision
    When an operator who asks the fleet applies a change of "hill-country"
    Then revision 2 is in force everywhere within 3000 ms
    And every process has the contract of revision 2

  Scenario Outline: Work goes on during an outage, and a new process gets the contracts from its peers
    When the store is <outage> for <time> s
    Then revision 1 is in force everywhere
    And a process that starts is ready with revision 1 within 3000 ms
    When the store has recovered
    And an operator applies a change
    Then revision 2 is in force everywhere within <limit> ms

    Examples:
      | outage   | time | limit |
      | down     | 3600 | 3000  |
      | hanging  | 600  | 5000  |
      | late     | 600  | 5000  |
      | flapping | 600  | 3000  |

  Scenario Outline: A revision never falls
    Given an operator applies a change
    And revision 2 is in force everywhere within 3000 ms
    When <event>
    Then revision 2 is in force everywhere within 3000 ms
    And every process has the contract of revision 2

    Examples:
      | event                                        |
      | the store is set back to revision 1          |
      | the store loses its contracts                |
      | every agent restarts one after another       |
      | the store is set back and every agent restarts |

  Scenario: A process does not serve an older revision of the store while peers have a newer one
    Given an operator applies a change
    And revision 2 is in force everywhere within 3000 ms
    When the store is set back to revision 1
    Then a process that starts is ready with revision 2 within 3000 ms

  Scenario: A process waits for peers that answer late rather than serve an older revision of the store
    Given an operator applies a change
    And revision 2 is in force everywhere within 3000 ms
    When the store is set back to revision 1
    And peers do not answer for 4 s
    Then a process that starts is ready with revision 2 within 8000 ms

  Scenario: Answers of peers that arrive late, with revisions passed meanwhile, change nothing
    Given answers of peers take 700 ms
    When an operator applies a change
    And an operator applies a change
    And an operator applies a change
    Then revision 4 is in force everywhere within 3000 ms

  Scenario: A half that was cut off returns
    When half of the processes are cut off
    And an operator applies a change
    And 60 s pass
    Then revision 1 is in force on the cut-off half
    When the partition heals
    Then revision 2 is in force everywhere within 3000 ms

  Scenario: A change after the store was restored from a backup exceeds the fleet's revision
    Given an operator applies a change of "scarita"
    And an operator applies a change of "river"
    And revision 3 is in force everywhere within 3000 ms
    When the store is set back to revision 1
    And an operator who asks the fleet applies a change of "clinic"
    Then revision 4 is in force everywhere within 3000 ms
    And every process has contracts of "hill-country, scarita, river, clinic"

  Scenario: Two documents of one revision are reported and settled
    Given an operator applies a change
    And revision 2 is in force everywhere within 3000 ms
    When the store holds another document of revision 2
    And 5 s pass
    Then all processes have the same version of revision 2
    And a log line says "other contracts under revision 2"

  Scenario: An invalid document in the store is passed over
    When the store holds the text "{\"revision\":9,\"contracts\":{\"x\":{}}}"
    And 5 s pass
    Then revision 1 is in force everywhere
    And a log line says "$.contracts.x.customer"

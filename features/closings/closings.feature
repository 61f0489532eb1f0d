Feature: The versioned set of closed data centres
  Every process keeps the newest set that it has been told, by the revision of the store that it is of.

  Background:
    Given a process that has been told the closings "east" of revision 10 by "store"

  # Guards against a closing that an older set takes back: it was on its way for longer.
  Scenario: An older set never replaces a newer one
    When "e2" tells it the closings "" of revision 9
    Then the closed data centres are "east"
    And the log tells "closing-learned" 1 times

  # Guards against a closing that a process without the store never learns of, or that does not end.
  Scenario: A newer set of another process takes effect, and the log names the process
    When "e2" tells it the closings "east west" of revision 12
    Then the closed data centres are "east west"
    And the log tells that "west" was learned from "e2" at revision 12
    When "a1" tells it the closings "west" of revision 15
    Then the closed data centres are "west"
    And the log tells "closing-ended" 1 times

  # Guards against messages and log lines for each answer of a store that other keys keep changing.
  Scenario: A newer set of the same data centres changes nothing
    When "store" tells it the closings "east" of revision 30
    Then nothing has changed
    When "e2" tells it the closings "" of revision 20
    Then the closed data centres are "east"

  # Guards against an operator's typing error that nobody notices, and against a log line for each check.
  Scenario: A closing of an unknown data centre is logged once
    When "store" tells it the closings "east weast" of revision 11
    And 2900 ms go by at a process that knows the data centres "east west"
    Then the log tells "closing-unknown" 0 times
    When 200 ms go by at a process that knows the data centres "east west"
    And 200 ms go by at a process that knows the data centres "east west"
    Then the log tells "closing-unknown" 1 times

  # Guards against an entry that never learns of a closing, as only an agent has a link to it and to the others.
  Scenario: A process finds the peers that are still behind some time after a change
    Given "e1" is known to have the closings "east" of revision 8
    And "e2" is known to have the closings "" of revision 9
    And "e3" is known to have the closings "west" of revision 11
    Then of "e1 e2 e3 e4" the peers "" are behind
    When 250 ms go by at a process that knows the data centres "east west"
    Then of "e1 e2 e3 e4" the peers "e2 e4" are behind

  # Guards against a data centre that stays closed: the deletion of its key was missed.
  Scenario: A complete answer of the store ends a closing that it does not list
    Given the store lists the closings "east west" at revision 20
    When the store lists the closings "west" at revision 24
    Then the store's closings are "west" of revision 24

  # Guards against changes in quick succession of which the store tells only the last, or all in any order.
  Scenario Outline: Changes of one watch apply by their revision
    Given the store lists the closings "east" at revision 20
    When the store tells the changes "<changes>" at revision 30
    Then the store's closings are "<closed>" of revision 30

    Examples:
      | changes                  | closed    |
      | west+21                  | east west |
      | east-21                  |           |
      | east-21 east+22          | east      |
      | east+22 east-21          | east      |
      | east-21 east+22 east-23  |           |
      | west+21 north+22 east-23 | north west |
      |                          | east      |

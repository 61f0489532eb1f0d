Feature: Closings between entries and agents
  Entries tell each other and their agents at once what they learn; an agent tells an entry that is still behind.

  Background:
    Given entries "e1 e2 e3" with streams to each other and to agents "a1 a2"

  # Guards against starts in a closed data centre by entries that the store rejects while it serves others.
  Scenario: A closing that one entry learns from the store reaches all others at once
    When the store tells "e1" the closings "west" of revision 5
    Then "e1 e2 e3 a1 a2" know the closings "west"
    When the store tells "e2" the closings "" of revision 9
    Then "e1 e2 e3 a1 a2" know the closings ""

  # Guards against a closing that is taken back by an entry whose watch answers late.
  Scenario: A late answer of the store changes nothing
    When the store tells "e1" the closings "west" of revision 5
    And the store tells "e2" the closings "" of revision 4
    Then "e1 e2 e3 a1 a2" know the closings "west"

  # Guards against an entry without the store and without the other entries that goes on using a closed data centre.
  Scenario: An entry that reaches only an agent learns of the closing from it
    Given "e3" has lost its streams to "e1 e2 a2"
    When the store tells "e1" the closings "west" of revision 5
    Then "e3" know the closings ""
    When 250 ms go by at all of them
    Then "e3" know the closings "west"

  # Guards against a process that starts while the store is down and knows of no closing.
  Scenario Outline: A process that is replaced learns of the closing as soon as it is connected
    Given the store tells "e1" the closings "west" of revision 5
    When "<process>" is replaced
    Then "<process>" know the closings "west"

    Examples:
      | process |
      | e2      |
      | a1      |

  # Guards against messages in each turn to entries of an earlier build, which never tell a set.
  Scenario: An agent tells an entry of an earlier build once
    Given "e3" is of an earlier build
    When the store tells "e1" the closings "west" of revision 5
    And 2000 ms go by at all of them
    Then "a1" has sent "e3" 1 messages
    And "a1" has sent "e2" 0 messages

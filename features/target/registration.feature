Feature: Registration of the target
  A target is registered while it announces itself, and gets no new tasks once it announces that it is leaving.

  Background:
    Given a registration with a lease of 3000 ms at host "10.0.0.5"

  Scenario: A target appears, renews its lease and is gone when it falls silent
    When a target announces itself at "127.0.0.1:9000" with 8 slots
    And 2000 ms pass
    And a target announces itself at "127.0.0.1:9000" with 8 slots
    And 2999 ms pass
    Then the registration finds the target "127.0.0.1:9000"
    When 1 ms passes
    Then the registration finds no target
    And the listeners received "8 slots, gone"

  Scenario: A target that is leaving is told to listeners at once
    When a target announces itself at "127.0.0.1:9000" with 8 slots
    And the target announces that it is leaving
    Then the listeners received "8 slots, leaving"

  Scenario: A target that moved or grew is told to listeners
    When a target announces itself at "127.0.0.1:9000" with 8 slots
    And a target announces itself at "127.0.0.1:9001" with 16 slots
    Then the registration finds the target "127.0.0.1:9001"
    And the listeners received "8 slots, 16 slots"

  Scenario: A target may listen at the agent's own host
    When a target announces itself at "10.0.0.5:9000" with 8 slots
    Then the registration finds the target "10.0.0.5:9000"

  Scenario Outline: An announcement that comes from <sender> is <answer>
    When an announcement comes from "<sender>"
    Then it is <answer>

    Examples:
      | sender           | answer   |
      | 127.0.0.1        | accepted |
      | ::ffff:10.0.0.5  | accepted |
      | 10.0.0.6         | refused  |

  Scenario Outline: An announcement with <fault> is refused and changes nothing
    When a target announces itself at "127.0.0.1:9000" with 8 slots
    And the announcement <body> arrives
    Then the announcement is refused with field "<field>" and a message that has "<part>"
    And the listeners received "8 slots"

    Examples:
      | fault               | body                                                                                | field         | part                |
      | no object           | [1]                                                                                 | $             | [1]                 |
      | a host name         | {"address":"localhost:9000","slots":8,"connections":64}                             | $.address     | localhost:9000      |
      | another host        | {"address":"10.0.0.6:9000","slots":8,"connections":64}                              | $.address     | at the host of the  |
      | a port out of range | {"address":"127.0.0.1:70000","slots":8,"connections":64}                            | $.address     | 127.0.0.1:70000     |
      | a path in it        | {"address":"127.0.0.1:9000/x","slots":8,"connections":64}                           | $.address     | 127.0.0.1:9000/x    |
      | no slots            | {"address":"127.0.0.1:9000","connections":64}                                       | $.slots       | absent              |
      | zero slots          | {"address":"127.0.0.1:9000","slots":0,"connections":64}                             | $.slots       | from 1 to           |
      | half a slot         | {"address":"127.0.0.1:9000","slots":1.5,"connections":64}                           | $.slots       | 1.5                 |
      | text as connections | {"address":"127.0.0.1:9000","slots":8,"connections":"64"}                           | $.connections | 64                  |
      | leaving as text     | {"address":"127.0.0.1:9000","slots":8,"connections":64,"leaving":"yes"}             | $.leaving     | must be true or     |
      | an unknown key      | {"address":"127.0.0.1:9000","slots":8,"connections":64,"weight":1}                  | $.weight      | allowed: address    |

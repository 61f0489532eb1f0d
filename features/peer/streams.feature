Feature: Streams between processes
  Two networks on the loopback interface; both sides prove that they have the shared secret before any frame.

  Scenario: Messages reach the other process in order
    Given peers "a" and "b" with the same secret
    When "a" opens a stream to "b" and sends 50 messages
    Then "b" has received 50 messages of "a" in order

  Scenario Outline: A stream is not opened if <fault>
    Given peers "a" and "b" with <secrets>
    When "a" tries to open a stream to incarnation <incarnation> of "b"
    Then the stream is refused as "<kind>"

    Examples:
      | fault                       | secrets           | incarnation | kind              |
      | the secret differs          | different secrets | 1           | unreachable       |
      | another incarnation answers | the same secret   | 2           | other-incarnation |

  Scenario: Peers that close while they open a stream do no harm
    Given peers "a" and "b" with the same secret
    When 30 raw connections to "b" are cut while they open a stream
    And "a" opens a stream to "b" and sends 3 messages
    Then "b" has received 3 messages of "a" in order

  Scenario: Streams opened from both sides at once are all closed at the end
    Given peers "a" and "b" with the same secret
    When "a" and "b" open streams to each other at the same moment
    Then both close, and neither opens a stream afterwards

  # Guards against messages that are lost or late, or overtaken by those on another stream, without either side being told.
  Scenario: A process is told when a second stream to a peer opens, and when it closes
    Given peers "a" and "b" with the same secret
    When "a" and "b" open streams to each other at the same moment
    Then "a" is told that its streams to "b" have changed
    When one of the two streams is idle and closes
    Then "a" is told again that its streams to "b" have changed, and still has one

  Scenario: A message that cannot be handled ends its stream, not the process
    Given peers "a" and "b" with the same secret
    And "b" fails to handle the query "broken"
    When "a" opens a stream to "b" and sends the query "broken"
    Then the stream of "a" to "b" closes
    When "a" opens a stream to "b" and sends 3 messages
    Then "b" has received 3 messages of "a" in order

  Scenario: Frames that no process sends end their stream without an error
    When a stream receives 500 frames of random bytes and 500 of random values with seed 1
    Then it never throws, and closes at every frame that is not one of messages

Feature: Gossip over UDP
  Datagrams are authenticated; whatever else arrives is dropped and counted.

  Scenario Outline: A datagram survives encoding
    Given a datagram about <body>
    When it is encoded and decoded
    Then the decoded datagram equals the original

    Examples:
      | body          |
      | ping          |
      | ping anyone   |
      | ack           |
      | probe-request |
      | nack          |
      | gossip        |
      | pull          |
      | page          |
      | sync          |

  Scenario Outline: A datagram that is not in order is dropped
    Given a datagram about ping
    When it is encoded and <fault>
    Then it is dropped as "<kind>"

    Examples:
      | fault                                      | kind      |
      | cut to 10 bytes                            | short     |
      | cut by one byte                            | forged    |
      | changed in one bit                         | forged    |
      | given another protocol version             | version   |
      | encoded with another secret                | forged    |
      | replaced by an authenticated "text"        | malformed |
      | replaced by an authenticated list          | malformed |
      | given a sender without an address          | malformed |
      | given an unknown type                      | malformed |
      | given a host name instead of an IP address | malformed |
      | given a negative incarnation               | malformed |

  Scenario: Arbitrary bytes never raise an error
    Then arbitrary bytes and arbitrary authenticated payloads are decoded or dropped

  Scenario: Processes find each other over real sockets, and see one leave and end
    Given 4 processes that gossip on the loopback interface
    When they have found each other
    And a process with another secret sends a datagram to process "p1"
    And process "p2" leaves
    Then the others eventually see "p2" as leaving
    When process "p2" stops
    Then the others eventually see "p2" as dead
    And process "p1" has counted a forged datagram
    And no process sends datagrams after it has stopped

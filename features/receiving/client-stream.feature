Feature: Streams of clients
  What an HTTP server sees of a client whose socket is read in pieces: it behaves as a socket does.

  Background:
    Given an HTTP server whose clients are bounded, that answers with the size of the body

  # Guards against bodies that are cut at the end of a piece, or stop while the server waits for its turn.
  Scenario Outline: A body of <bytes> bytes arrives whole
    When a client sends a body of <bytes> bytes
    Then the answers are <bytes>

    Examples:
      | bytes   |
      | 1       |
      | 2048    |
      | 70000   |
      | 1000000 |

  Scenario: Requests that arrive in one piece are all answered, in their order
    When a client sends bodies of 5, 3000, 7 and 1 bytes at once
    Then the answers are 5, 3000, 7, 1

  # Guards against a caller that is taken for gone because it ends its side of the connection behind its request.
  Scenario: A client that ends the connection behind its request
    When a client sends a body of 9 bytes and ends the connection
    Then the connection is closed

  # Guards against idle connections that are never closed.
  Scenario: An idle connection is closed after the time of the server
    Given the server closes idle connections after 200 ms
    When a client sends a body of 9 bytes
    Then the answers are 9
    And the connection is closed

  Scenario: A request that cannot be parsed is answered 400
    When a client sends "no request"
    Then the client has read "400 Bad Request"
    And the connection is closed

  # Guards against data behind the request for another protocol that is lost when the socket changes hands.
  Scenario Outline: A connection that asks for another protocol
    When a client asks for another protocol and sends <bytes> bytes of it
    Then the other protocol has received <bytes> bytes

    Examples:
      | bytes  |
      | 0      |
      | 100    |
      | 100000 |

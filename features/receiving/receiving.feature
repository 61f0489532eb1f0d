Feature: Connections and memory of clients
  Which connections and unfinished requests a server keeps when clients exceed its limits. Runs without a network. A header has 5,000 ms, a body and an answer 10,000.

  Background:
    Given a server with 4 connections, 100000 bytes and 2 requests per connection

  # Guards against a limit on idle time: a caller keeps its connection open between its jobs.
  Scenario: An idle connection stays open
    When at 0 ms connection 1 opens
    And at 10 ms connection 1 is served a request
    Then at 600000 ms nothing is ended

  # Guards against a plain maximum of connections, which silent clients would use up.
  Scenario: The oldest connection without a request is closed for a new one
    When at 0 ms connection 1 opens
    And at 1 ms connection 1 is served a request
    And at 2 ms connection 2 opens
    And at 3 ms connection 3 opens
    And at 4 ms connection 4 opens
    And at 5 ms connection 5 opens
    Then connection 2 was ended for "connections"

  Scenario: The longest idle connection is closed if all have had requests
    When at 0 ms connections 1 to 4 open
    And at 2 ms connection 1 is served a request
    And at 3 ms connection 4 is served a request
    And at 4 ms connection 3 is served a request
    And at 5 ms connection 2 is served a request
    And at 6 ms connection 5 opens
    Then connection 1 was ended for "connections"

  # Guards against ending a job that was submitted, whose caller waits.
  Scenario: A connection that waits for its answer is not closed for a new one
    When at 0 ms connections 1 to 4 open
    And at 1 ms connection 1 sends a request
    And at 1 ms connection 2 sends a request
    And at 1 ms connection 3 sends a request
    And at 1 ms connection 4 sends a request
    And at 2 ms connection 5 opens
    Then connection 5 was ended for "connections"

  Scenario Outline: <what> is ended when its time has passed
    When at 0 ms connection 1 opens
    And at 1000 ms connection 1 <sends>
    Then at <before> ms nothing is ended
    And at <after> ms connection 1 is ended for "<reason>"

    Examples:
      | what             | sends                       | before | after | reason        |
      | A slow header    | sends 100 bytes of a header | 5900   | 6100  | slow-header   |
      | A slow body      | sends 100 bytes of a body   | 10900  | 11100 | slow-body     |
      | An unread answer | leaves 100 bytes unread     | 10900  | 11100 | unread-answer |

  Scenario: An answer that is being read is not ended
    When at 0 ms connection 1 opens
    And at 1000 ms connection 1 leaves 5000 bytes unread
    And at 9000 ms connection 1 leaves 4000 bytes unread
    Then at 18000 ms nothing is ended

  Scenario: The body with the largest product of size and age is ended first
    When at 0 ms connections 1 to 3 open
    And at 0 ms connection 1 sends 30000 bytes of a body
    And at 2000 ms connection 2 sends 1000 bytes of a body
    And at 3000 ms connection 3 sends 50000 bytes of a body
    Then connection 1 was ended for "memory"
    And the memory in use is 67384 bytes

  # Guards against a refusal of a job that was submitted: only one that has not begun is refused.
  Scenario: A request is refused if those that wait use all the memory
    Given a server with 20 connections, 32768 bytes and 2 requests per connection
    When at 0 ms connections 1 to 5 open
    And at 1 ms connection 1 sends a request
    And at 1 ms connection 2 sends a request
    And at 1 ms connection 3 sends a request
    And at 1 ms connection 4 sends a request
    And at 1 ms connection 5 sends a request
    Then the requests were decided "admitted admitted admitted admitted refused"
    And at 2 ms nothing is ended

  # Guards against a connection that is dropped for a refused request and stays open without being counted.
  Scenario: Connections dropped for a refused request are ended
    Given a server with 20 connections, 32768 bytes and 2 requests per connection
    When at 0 ms connections 1 to 6 open
    And at 1 ms connection 1 sends a request
    And at 1 ms connection 2 sends a request
    And at 1 ms connection 3 sends a request
    And at 1 ms connection 4 sends a request
    And at 2 ms connection 5 sends 72 bytes of a header
    And at 3 ms connection 6 sends a request
    Then the requests were decided "admitted admitted admitted admitted refused"
    And the connections "5" were ended

  # Guards against large bodies that wait for each other until all of them have run out of time.
  Scenario: Some large bodies are read while the others wait
    Given a server with 20 connections, 2000000 bytes and 2 requests per connection
    When at 0 ms connections 1 to 10 open
    And at 1 ms connections 1 to 10 send 110000 bytes of a body each
    Then at 2 ms the bodies of connections "9 10" wait
    When at 500 ms the body of connection 1 is complete
    Then at 501 ms the body of connection 9 is read on

  # Guards against bodies that stop just short of their end and keep ordinary large bodies waiting for ten seconds.
  Scenario: Large bodies that stand still are ended while memory is scarce
    Given a server with 20 connections, 2000000 bytes and 2 requests per connection
    When at 0 ms connections 1 to 10 open
    And at 1 ms connections 1 to 10 send 110000 bytes of a body each
    Then at 2 ms the bodies of connections "9 10" wait
    When at 900 ms bytes of the body of connection 1 arrive
    Then at 1100 ms the connections "2 3 4 5 6 7 8" are ended

  # Guards against an unread answer that takes the time limit of a body away.
  Scenario: An unread answer beside a body that does not arrive
    When at 0 ms connection 1 opens
    And at 1000 ms connection 1 sends 100 bytes of a body
    And at 5000 ms connection 1 leaves 100 bytes unread
    And at 6000 ms connection 1 leaves 0 bytes unread
    Then at 11100 ms connection 1 is ended for "slow-body"

  Scenario: Pipelined requests end the connection
    When at 0 ms connection 1 opens
    And at 1 ms connection 1 sends a request
    And at 1 ms connection 1 sends a request
    And at 1 ms connection 1 sends a request
    Then connection 1 was ended for "pipelined"
    And the memory in use is 0 bytes

  # Compared with the least machine of a fleet, of the platform's limits.
  Scenario Outline: Limits of a machine of <memory> MB and <descriptors> descriptors
    Then a machine of <memory> MB and <descriptors> descriptors has <bytes> bytes and <connections> connections

    Examples:
      | memory | descriptors | bytes    | connections |
      | 602    | 8192        | 33554432 | 2000        |
      | 250    | 4100        | 32768000 | 1950        |
      | 218    | 4096        | 28573696 | 1948        |

Feature: Connections of callers
  Sizes are limited before data is buffered, and draining does not interrupt requests in flight.

  Background:
    Given an HTTP interface with these limits
      | maxTasks | maxTaskBytes | maxBodyBytes | maxDeadlineMs | maxIds |
      | 3        | 100          | 100000       | 1000          | 10     |

  Scenario Outline: A raw request with <fault> is answered <status>
    When a caller writes the raw request <request>
    Then the raw response begins with status <status> and has "<part>"
    And the job service was not called

    Examples:
      | fault                         | request                                   | status | part             |
      | a length over the cap         | PUT length:100001                         | 413    | body-too-large   |
      | a long body over the cap      | PUT length:9000000 sent                   | 413    | body-too-large   |
      | an expectation over the cap   | PUT length:100001 expect                  | 413    | body-too-large   |
      | chunks over the cap           | PUT chunks:100001                         | 413    | body-too-large   |
      | too large a header            | PUT header:20000                          | 431    | header-too-large |
      | a malformed request line      | junk                                      | 400    | malformed-request |
      | a length and chunks           | PUT length:20 chunks:20                   | 400    | malformed-request |

  Scenario Outline: A raw request with a slow <part> is answered 408
    Given requests must arrive within 300 ms
    When a caller writes the raw request PUT length:20 stalls in the <part>
    Then the raw response begins with status 408 and has "request-timeout"
    And the job service was not called

    Examples:
      | part   |
      | header |
      | body   |

  Scenario: A body that is cut off is not submitted
    When a caller writes half a body and closes its connection
    Then the HTTP interface becomes idle
    And the job service was not called

  Scenario: A caller that closes its connection does not cancel its job
    Given a job service that replies once the test allows it
    When a caller submits job "id-7" and closes its connection
    Then the HTTP interface is not idle
    When the job service replies
    Then the HTTP interface becomes idle
    And the job service was called with "submit id-7 1"

  Scenario: What follows a submitted request on its connection is never answered in its place
    Given a job service that replies once the test allows it
    When a caller submits job "id-7" and writes junk behind it
    Then the connection closes without a response

  Scenario: Draining refuses new requests and finishes those in flight
    Given a job service that replies once the test allows it
    When a caller submits job "id-7" and waits
    And the HTTP interface starts draining
    And a caller sends PUT /v1/jobs/id-8 with body {"kind":"k","tasks":[{"body":1}]}
    Then the response is problem "leaving" with status 503, outcome "not-run" and field ""
    When a caller sends GET /v1/jobs/id-7 with body none
    Then the response is problem "leaving" with status 503, outcome "unknown" and field ""
    And the response closes its connection
    And the HTTP interface is not idle
    When the job service replies
    Then the waiting caller receives the complete answer of "id-7" on a connection that closes
    And the HTTP interface becomes idle

  Scenario Outline: <path> answers <status> when the process is <state>
    Given the process is <state>
    When a caller sends GET <path> token: with body none
    Then the response has status <status>

    Examples:
      | path     | state     | status |
      | /healthz | ready     | 200    |
      | /readyz  | ready     | 200    |
      | /readyz  | not ready | 503    |
      | /readyz  | draining  | 503    |
      | /healthz | draining  | 200    |
      | /metrics | ready     | 200    |

  Scenario: Bodies that are being received are capped together
    When 3 callers each write 60000 bytes of a body
    Then one of them is answered 503 with "overloaded"

Feature: Calls of the target
  A task is sent to the target at most once, and its status is "not-started" only if nothing was written.

  Scenario Outline: How a call ends when the target <fault>
    Given a raw target that <fault>
    When a task is sent to the raw target
    Then the call of the target ends as "<status>"
    And the raw target received 1 request

    Examples: broken off before a status arrived
      | fault                            | status  |
      | closes after the header          | unknown |
      | closes in the middle of the body | unknown |
      | closes after the full request    | unknown |
      | answers with half a status line  | unknown |
      | answers with half a header       | unknown |
      | answers what is not HTTP         | unknown |
      | answers 103 and closes           | unknown |

    Examples: a status arrived
      | fault                        | status  |
      | answers 200 and half a body  | unknown |
      | answers 500 and half a body  | failed  |
      | answers 500                  | failed  |
      | answers 404                  | failed  |
      | answers 302                  | failed  |
      | answers 503 with Retry-After | failed  |
      | answers with too long a body | failed  |
      | answers 103 and then 200     | done    |
      | answers 200 without a length | done    |
      | answers 200                  | done    |

  Scenario: A target that refuses connections received nothing
    Given a raw target that answers 200
    And the raw target is closed
    When a task is sent to the raw target
    Then the call of the target ends as "not-started"

  Scenario: A connection that closes as it opens leaves the call unknown
    Given a raw target that closes each connection when it opens
    When a task is sent to the raw target
    Then the call of the target ends as "unknown"

  Scenario: A kept connection that was closed while idle is replaced
    Given a raw target that answers 200
    And a task was sent to the raw target and done
    And the raw target closed its connections
    When a task is sent to the raw target
    Then the call of the target ends as "done"
    And the raw target received 2 requests

  Scenario: A kept connection that closes as the request arrives is not tried again
    Given a raw target that answers once and then closes each kept connection as a request arrives
    And a task was sent to the raw target and done
    When a task is sent to the raw target
    Then the call of the target ends as "unknown"
    And the raw target received 2 requests

  Scenario: A call that times out after it was written is unknown
    Given a raw target that never answers
    When a task is sent to the raw target and times out once it has arrived
    Then the call of the target ends as "unknown"
    And the raw target received 1 request

  Scenario Outline: The slot of a call that timed out is free once <event>
    Given a raw target that never answers
    When a task is sent to the raw target and times out once it has arrived
    Then the slot of the call is taken
    When <event>
    Then the slot of the call is free

    Examples:
      | event                             |
      | the raw target answers after all  |
      | the raw target closes             |
      | the hold of the call ends         |
      | the caller of the target closes   |

  Scenario: A call that times out in the queue for a connection is never written
    Given a raw target that never answers
    And a task that holds the only connection to the raw target
    When a task is sent to the raw target and times out in the queue
    Then the call of the target ends as "not-started"
    And once the connection is free the raw target receives the next task only

  Scenario: A caller that is closed finishes what runs and starts nothing more
    Given a raw target that answers 200
    When a task is sent to the raw target and the caller is closed meanwhile
    Then the call of the target ends as "done"
    When a task is sent to the raw target
    Then the call of the target ends as "not-started"

  Scenario: Connections stay within the target's limit and requests are not pipelined
    Given a raw target that never answers
    When 5 tasks are sent to the raw target over at most 3 connections
    Then the raw target holds 3 connections with 1 request each

  Scenario: The request carries the task
    Given a stand-in target without an agent
    When a task of customer "Țara" and kind "quote" is sent to the stand-in with 1500 ms left
    Then the stand-in echoes the body and its ledger has one start for that customer and kind

Feature: Connections to a worker
  An agent tells why it opens each connection to its worker.

  Scenario Outline: Reasons for new connections
    Given a worker whose connections are counted that <fault>
    When an agent calls it <calls>
    Then its connections are "<connections>"

    Examples:
      | fault                                  | calls                       | connections                             |
      | answers                                | renewal, renewal            | first 1                                 |
      | answers                                | renewal + start + stop      | first 1, parallel 2                     |
      | does not answer starts                 | start, renewal              | first 1, unanswered-start 1             |
      | does not answer starts                 | start + start, renewal + stop, start | first 1, parallel 1, unanswered-start 2 |
      | does not answer stops                  | stop, renewal, renewal      | first 1, unanswered-stop 1              |
      | does not answer renewals               | renewal, start              | first 1, unanswered-renewal 1           |
      | closes the connection with each answer | renewal, renewal            | first 1, closed 1                       |
      | breaks the connection at each start    | start, renewal              | first 1, broken 1                       |
      | keeps connections for 3 s              | renewal, pause, renewal     | first 1, idle 1                         |
      | is not there                           | renewal                     | not-opened 1                            |

  # Guards against two new connections after each call without an answer: the call that was given up got one too.
  Scenario: A call right after one without an answer
    Given a worker whose connections are counted that does not answer starts
    When a start and at once a renewal are sent to it
    Then its connections are "first 1, unanswered-start 1"

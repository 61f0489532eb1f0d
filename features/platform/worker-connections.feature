Feature: Connections to a worker
  An agent tells why it opens each connection to its worker.

  Scenario Outline: Reasons for new connections
    Given a worker that <fault>
    When an agent calls it <calls>
    Then its connections are "<connections>"

    Examples:
      | fault                                  | calls                       | connections                             |
      | answers                                | renewal, renewal            | first 1                                 |
      | answers                                | renewal + start + stop      | first 1, parallel 2                     |
      | does not answer starts                 | start, renewal              | first 1, unanswered-start 1             |
      | does not answer stops                  | stop, renewal, renewal      | first 1, unanswered-stop 1              |
      | does not answer renewals               | renewal, start              | first 1, unanswered-renewal 1           |
      | closes the connection with each answer | renewal, renewal            | first 1, closed 1                       |
      | breaks the connection at each start    | start, renewal              | first 1, broken 1                       |
      | keeps connections for 3 s              | renewal, pause, renewal     | first 1, idle 1                         |
      | is not there                           | renewal                     | not-opened 1                            |

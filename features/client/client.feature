Feature: Client library
  A job is resubmitted under its id until an answer is conclusive, and under a new id only if it did not run.

  Scenario Outline: Entries that answer <answers> give <result>
    Given a client of two entries that answer <answers>
    When the client submits a job
    Then the client's job ends as <result>
    And the entries received the ids <ids> in turn

    Examples: lost answers and temporary refusals
      | answers                                     | result   | ids     |
      | complete                                    | complete | a       |
      | lost, complete                              | complete | a a     |
      | hang, complete                              | complete | a a     |
      | half, complete                              | complete | a a     |
      | 502 html, complete                          | complete | a a     |
      | pending, complete                           | complete | a a     |
      | 503 not-run request leaving, complete       | complete | a a     |
      | 504 unknown job home-lost, complete         | complete | a a     |
      | 500 unknown request internal-error, complete | complete | a a    |
      | 429 not-run request contract-limit retry, complete | complete | a a |
      | lost, lost, lost, lost                      | unknown  | a a a a |

    Examples: proof that the job did not run
      | answers                                     | result   | ids     |
      | 503 not-run job no-capacity retry, complete | complete | a b     |
      | 503 not-run job leaving, complete           | complete | a b     |
      | 429 not-run job contract-limit retry, 429 not-run job contract-limit retry | not-run | a b |
      | 409 not-run job cancelled                   | not-run  | a       |
      | lost, 409 not-run job cancelled             | not-run  | a a     |

    Examples: no proof, or a retry cannot help
      | answers                                     | result   | ids     |
      | 502 failed job task-failed retry            | failed   | a       |
      | 504 unknown job home-restarted retry        | unknown  | a       |
      | 422 not-run request invalid-value           | not-run  | a       |
      | lost, 422 not-run request invalid-value     | unknown  | a a     |
      | 429 not-run request contract-limit          | not-run  | a       |
      | lost, 429 not-run request contract-limit    | unknown  | a a     |
      | 401 not-run request unauthorized            | not-run  | a       |

  Scenario: An id of the caller's own is never replaced
    Given a client of two entries that answer 503 not-run job no-capacity retry
    When the client submits a job under the id "own"
    Then the client's job ends as not-run
    And the entries received the ids own in turn

  Scenario: An entry that can't be reached is passed over, at no cost to the retry budget
    Given a client of two entries that always answer complete
    When the client submits a job
    And the first of the entries is closed
    And the client submits 40 jobs
    Then 41 of the client's jobs ended as complete

  Scenario: An entry that is leaving is passed over for a while
    Given a client of two entries that answer 503 not-run request leaving, complete, complete, complete
    When the client submits a job
    And the client submits a job
    And the client submits a job
    Then 3 of the client's jobs ended as complete
    And the entry that is leaving received 1 submission

  # 54 = 40 first tries + 10 saved retries + 40 times the retry budget of 0.1.
  Scenario: Refusals do not multiply the load
    Given a client of two entries that always answer 503 not-run request leaving
    When the client submits 40 jobs
    Then 0 of the client's jobs ended as complete
    And the entries received at most 54 submissions

  Scenario: Jobs that wait for ids share fetches
    Given a client of two entries that always answer complete
    When the client submits 40 jobs
    Then 40 of the client's jobs ended as complete
    And the entries received 40 ids, all different, by at most 4 fetches

  Scenario: An id that was kept too long is dropped
    Given a client of two entries that always answer complete
    When the client submits a job
    And the client's ids grow too old
    And the client submits a job
    Then the entries received the ids a and then one minted later

  Scenario Outline: A query answered <answers> gives <result>
    Given a client of two entries that answer <answers>
    When the client <action> the job "a"
    Then the client's job ends as <result>

    Examples:
      | action  | answers                               | result    |
      | gets    | lost, complete                        | complete  |
      | gets    | pending                               | pending   |
      | gets    | 404 unknown request unknown-job       | unknown   |
      | gets    | 409 not-run job cancelled             | not-run   |
      | gets    | 401 not-run request unauthorized      | unknown   |
      | cancels | lost, cancelled                       | cancelled |
      | cancels | 502 failed job task-failed            | failed    |

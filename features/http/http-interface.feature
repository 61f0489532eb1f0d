Feature: HTTP interface to callers
  Every request is answered once, and every refusal or failure states the outcome of the job.

  Background:
    Given an HTTP interface with these limits
      | maxTasks | maxTaskBytes | maxBodyBytes | maxDeadlineMs | maxIds |
      | 3        | 100          | 100000       | 1000          | 10     |

  Scenario Outline: <method> <path> is passed on and answered
    Given a job service that replies <reply>
    When a caller sends <method> <path> with body <body>
    Then the response has status <status> and JSON <json>
    And the job service was called with "<call>"

    Examples:
      | method | path                  | body                                                | reply     | status | json                                                    | call                    |
      | POST   | /v1/job-ids           | none                                                | complete  | 200    | {"ids":["id-0"]}                                        | mint 1                  |
      | POST   | /v1/job-ids?count=2   | none                                                | complete  | 200    | {"ids":["id-0","id-1"]}                                 | mint 2                  |
      | PUT    | /v1/jobs/id-7         | {"kind":"scan","tasks":[{"body":{"a":1}}]}          | complete  | 200    | {"id":"id-7","outcome":"complete","results":[{"a":1}]}  | submit id-7 {"a":1}     |
      | POST   | /v1/jobs              | {"kind":"scan","tasks":[{"body":null},{"body":2}]}  | complete  | 200    | {"id":"id-0","outcome":"complete","results":[null,2]}   | submit new null,2       |
      | POST   | /v1/jobs key:k-1      | {"kind":"scan","tasks":[{"body":0}]}                | complete  | 200    | {"id":"id-0","outcome":"complete","results":[0]}        | submit key k-1 0        |
      | GET    | /v1/jobs/id-7         | none                                                | pending   | 202    | {"id":"id-7","outcome":"pending"}                       | query id-7              |
      | DELETE | /v1/jobs/id-7         | none                                                | pending   | 202    | {"id":"id-7","outcome":"pending"}                       | cancel id-7             |
      | DELETE | /v1/jobs/id-7         | none                                                | cancelled | 200    | {"id":"id-7","outcome":"not-run","reason":"cancelled","detail":"why"} | cancel id-7 |

  Scenario Outline: A request with <fault> is refused before the job service is asked
    When a caller sends <request> with body <body>
    Then the response is problem "<type>" with status <status>, outcome "<outcome>" and field "<field>"
    And its detail has "<part>"
    And the job service was not called

    Examples:
      | fault                | request                     | body                                            | type                   | status | outcome | field            | part                      |
      | no token             | PUT /v1/jobs/a token:       | {"kind":"k","tasks":[{"body":1}]}               | unauthorized           | 401    | not-run |                  | a bearer token            |
      | a wrong token        | GET /v1/jobs/a token:other  | none                                            | unauthorized           | 401    | unknown |                  | a bearer token            |
      | an unknown path      | POST /v2/jobs               | {}                                              | not-found              | 404    | not-run | path             | /v2/jobs                  |
      | another method       | PATCH /v1/jobs/a            | {}                                              | method-not-allowed     | 405    | unknown | method           | GET, PUT, DELETE          |
      | text as body         | POST /v1/jobs type:text/plain | x                                             | unsupported-media-type | 415    | not-run | Content-Type     | application/json          |
      | a packed body        | POST /v1/jobs coding:gzip   | {}                                              | unsupported-media-type | 415    | not-run | Content-Encoding | identity                  |
      | malformed JSON       | POST /v1/jobs               | {"kind":                                        | malformed-json         | 400    | not-run | $                | must be JSON              |
      | an array             | POST /v1/jobs               | []                                              | invalid-value          | 422    | not-run | $                | must be an object         |
      | an unknown key       | POST /v1/jobs               | {"kind":"k","tasks":[{"body":1}],"size":1}      | invalid-value          | 422    | not-run | $.size           | allowed: kind             |
      | no kind              | POST /v1/jobs               | {"tasks":[{"body":1}]}                          | invalid-value          | 422    | not-run | $.kind           | absent                    |
      | a deadline too long  | POST /v1/jobs               | {"kind":"k","tasks":[{"body":1}],"deadlineMs":1001} | invalid-value      | 422    | not-run | $.deadlineMs     | from 1 to 1000 (value: 1001) |
      | a deadline of zero   | POST /v1/jobs               | {"kind":"k","tasks":[{"body":1}],"deadlineMs":0} | invalid-value         | 422    | not-run | $.deadlineMs     | (value: 0)                |
      | a text for a flag    | POST /v1/jobs               | {"kind":"k","tasks":[{"body":1}],"idempotent":"no"} | invalid-value      | 422    | not-run | $.idempotent     | true or false             |
      | no tasks             | POST /v1/jobs               | {"kind":"k","tasks":[]}                         | invalid-value          | 422    | not-run | $.tasks          | 1 to 3 tasks              |
      | too many tasks       | POST /v1/jobs               | {"kind":"k","tasks":[{"body":1},{"body":2},{"body":3},{"body":4}]} | invalid-value | 422 | not-run | $.tasks     | 4 tasks                   |
      | a task without body  | POST /v1/jobs               | {"kind":"k","tasks":[{"body":1},{}]}            | invalid-value          | 422    | not-run | $.tasks[1].body  | must be a JSON value      |
      | a key beside body    | POST /v1/jobs               | {"kind":"k","tasks":[{"body":1,"size":2}]}      | invalid-value          | 422    | not-run | $.tasks[0].size  | allowed: body             |
      | too large a task     | POST /v1/jobs               | {"kind":"k","tasks":[{"body":LONG(99)}]}        | invalid-value          | 422    | not-run | $.tasks[0].body  | 101 bytes                 |
      | too deep a task      | POST /v1/jobs               | {"kind":"k","tasks":[{"body":DEEP(20000)}]}     | invalid-value          | 422    | not-run | $.tasks[0].body  | nested                    |
      | too large a body     | POST /v1/jobs               | LONG(100000)                                    | body-too-large         | 413    | not-run | body             | 100002 bytes              |
      | too many ids         | POST /v1/job-ids?count=11   | none                                            | invalid-value          | 422    | not-run | count            | from 1 to 10              |
      | half an id           | POST /v1/job-ids?count=0.5  | none                                            | invalid-value          | 422    | not-run | count            | 0.5                       |
      | two counts           | POST /v1/job-ids?count=1&count=2 | none                                       | invalid-value          | 422    | not-run | count            | array                     |
      | a space in its key   | POST /v1/jobs key:a_b       | {"kind":"k","tasks":[{"body":1}]}               | invalid-value          | 422    | not-run | Idempotency-Key  | visible ASCII             |

  Scenario Outline: An answer that is <outcome> by <reason> has status <status>
    Given a job service that replies <outcome> <reason>
    When a caller sends PUT /v1/jobs/id-7 with body {"kind":"k","tasks":[{"body":1}]}
    Then the response is problem "<reason>" with status <status>, outcome "<outcome>" and field ""
    And its scope is "<scope>" and its Retry-After is "2"

    Examples:
      | outcome | reason          | status | scope   |
      | not-run | no-capacity     | 503    | job     |
      | not-run | memory-limit    | 503    | job     |
      | not-run | leaving         | 503    | job     |
      | not-run | deadline        | 503    | job     |
      | not-run | contract-limit  | 429    | job     |
      | not-run | cancelled       | 409    | job     |
      | not-run | digest-mismatch | 409    | request |
      | not-run | expired         | 410    | job     |
      | failed  | task-failed     | 502    | job     |
      | failed  | cancelled       | 502    | job     |
      | failed  | deadline        | 502    | job     |
      | unknown | agent-lost      | 504    | job     |
      | unknown | home-lost       | 504    | job     |
      | unknown | home-restarted  | 504    | job     |
      | unknown | expired         | 504    | job     |

  Scenario Outline: A refusal by the job service of a <method> is <outcome>
    Given a job service that replies refused <service status>
    When a caller sends <method> /v1/jobs/id-7 with body <body>
    Then the response is problem "<type>" with status <service status>, outcome "<outcome>" and field "id"
    And its scope is "request" and its Retry-After is "2"

    Examples:
      | method | body                              | service status | type           | outcome |
      | PUT    | {"kind":"k","tasks":[{"body":1}]} | 429            | contract-limit | not-run |
      | PUT    | {"kind":"k","tasks":[{"body":1}]} | 503            | not-ready      | not-run |
      | GET    | none                              | 404            | unknown-job    | unknown |
      | DELETE | none                              | 400            | refused        | unknown |

  Scenario Outline: A target's answer <bytes> is given as <json>
    Given a job service that replies with the bytes "<bytes>"
    When a caller sends PUT /v1/jobs/id-7 with body {"kind":"k","tasks":[{"body":1}]}
    Then the response has status 200 and JSON {"id":"id-7","outcome":"complete","results":[<json>]}

    Examples:
      | bytes    | json              |
      | 7b7d     | {}                |
      | 6f6b     | {"text":"ok"}     |
      |          | {"text":""}       |
      | ff00     | {"base64":"/wA="} |

  Scenario: Ids are refused while no agent is known
    Given a job service that replies not-ready
    When a caller sends POST /v1/job-ids with body none
    Then the response is problem "not-ready" with status 503, outcome "not-run" and field ""

  Scenario: An entry that has no contracts yet says nothing of a token
    Given an entry that has no contracts yet
    When a caller sends PUT /v1/jobs/id-7 with body {"kind":"k","tasks":[{"body":1}]}
    Then the response is problem "not-ready" with status 503, outcome "not-run" and field ""

  Scenario: A job service that throws leaves the outcome unknown and tells no detail
    Given a job service that throws
    When a caller sends PUT /v1/jobs/id-7 with body {"kind":"k","tasks":[{"body":1}]}
    Then the response is problem "internal-error" with status 500, outcome "unknown" and field ""
    And its detail has "may have taken effect"

Feature: Admission by contract
  An entry refuses jobs that a contract does not allow, names the field, and advises when to retry.

  Scenario Outline: Each limit has its refusal
    Given a contract with rate 100, burst 50, maxJobsInFlight 3, maxTasksInFlight 60, maxTasksPerJob 20, maxJobBytes 1000
    When <jobs> jobs with tasks <tasks>, bytes <bytes>, kind <kind>, deadline <deadline> are submitted
    Then the last one is refused as "<refusal>" for "<field>" with value "<value>" and limit "<limit>"
    And its outcome is not-run, and a retry is advised "<again>"

    Examples:
      | jobs | tasks | bytes | kind  | deadline | refusal         | field            | value | limit | again |
      | 1    | 1     | 1     | other | 1000     | unknown-kind    | kinds            | other | scan  | never |
      | 1    | 1     | 1     | scan  | 0        | deadline        | deadline         | 0     | 60000 | never |
      | 1    | 1     | 1     | scan  | 60001    | deadline        | deadline         | 60001 | 60000 | never |
      | 1    | 21    | 1     | scan  | 1000     | job-tasks       | maxTasksPerJob   | 21    | 20    | never |
      | 1    | 0     | 1     | scan  | 1000     | job-tasks       | maxTasksPerJob   | 0     | 20    | never |
      | 1    | 1     | 1001  | scan  | 1000     | job-bytes       | maxJobBytes      | 1001  | 1000  | never |
      | 4    | 1     | 1     | scan  | 1000     | jobs-in-flight  | maxJobsInFlight  | 4     | 3     | later |
      | 3    | 20    | 1     | scan  | 1000     | rate            | rate             | 20    | 10    | later |

  Scenario: Tasks in flight are limited and come free with the answers
    Given a contract with rate 100, burst 50, maxJobsInFlight 9, maxTasksInFlight 30, maxTasksPerJob 20, maxJobBytes 1000
    When 2 jobs with tasks 20, bytes 1, kind scan, deadline 1000 are submitted
    Then the last one is refused as "tasks-in-flight" for "maxTasksInFlight" with value "40" and limit "30"
    When the first job is answered
    Then a job of 20 tasks is admitted

  Scenario: A refusal by rate says truthfully when to come again
    Given a contract with rate 100, burst 50, maxJobsInFlight 9, maxTasksInFlight 900, maxTasksPerJob 20, maxJobBytes 1000
    When 3 jobs with tasks 20, bytes 1, kind scan, deadline 1000 are submitted
    Then the job is refused until 1 ms before the advised time, and admitted then

  Scenario: Retries are paid from a reserve and by first tries
    Given a contract with rate 100000, burst 50, maxJobsInFlight 90, maxTasksInFlight 900, maxTasksPerJob 20, maxJobBytes 1000
    When 10 retries are submitted
    Then the next retry is refused as "retry-budget"
    When 10 first tries are submitted
    Then 1 more retry is admitted, and the next is refused as "retry-budget"
    When 3000 ms pass without a submission
    Then 3 more retry is admitted, and the next is refused as "retry-budget"

Feature: Deadlines of callers
  A caller waits for the time in its request from when it has sent the head. Nothing is done for it after that.

  Background:
    Given an entry that runs each job for 500 ms

  Scenario: An answer within the deadline
    When a caller that waits for 1000 ms submits a job
    And the caller waits for 501 ms
    Then the caller is answered 200

  # Guards against a deadline that counts from the end of the body: the job was served after its caller had gone.
  Scenario: A body that takes a part of the time
    When a caller that waits for 1000 ms submits a job whose body takes 300 ms
    Then the job has 700 ms left

  # Guards against a job that starts although its caller has gone.
  Scenario: A body that takes longer than the caller waits
    When a caller that waits for 200 ms submits a job whose body takes 300 ms
    Then the caller was answered 504 within 200 ms
    And the entry has got no job

  # Guards against an answer up to 50 ms after the deadline: the entry checks its jobs at intervals.
  Scenario: A job that takes longer than the caller waits
    When a caller that waits for 400 ms submits a job
    And the caller waits for 501 ms
    Then the caller was answered 504 within 400 ms
    And the caller has left its job

  # Guards against a job for a caller that has submitted it elsewhere, when a busy entry reads the submission seconds late.
  Scenario: A submission that is read together with the end of its connection
    When a caller submits a job and closes its connection before that is read
    Then the entry has got no job

  Scenario: A caller that leaves
    When a caller that waits for 1000 ms submits a job
    And its connection closes
    Then the caller has left its job

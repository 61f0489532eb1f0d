Feature: Tasks that crash their worker
  A task that crashes the process of each worker that starts it costs at most two workers, and other jobs are served.

  # Guards against a task that is started again without limit and takes down worker after worker (incident BUDGET).
  Scenario: A task under which two workers have crashed is given up
    Given a simulated fleet of 8 workers and 2 entries
    And a job of 4 tasks every 40 ms for 8 s on route "other"
    When job "bad" of 8 tasks on route "r" arrives at entry 0, and its task 0 crashes each worker
    And the simulated fleet runs for 10 s
    Then task 0 of "bad" has crashed at most 2 workers
    And "bad" is shown as "failed" for "crashes"
    And at least 98% of the other jobs are completed

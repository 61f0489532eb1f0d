Feature: Processes on the platform
  The bundled entry and agents serve jobs against stand-ins for the store and the workers.

  Background:
    Given an entry, 2 agents and their workers, whose tasks run for 150 ms

  Scenario: A job in, its answer out
    When a job of 6 tasks is submitted
    Then it is answered 200 "completed"
    And each of its tasks started once
    And a request outside every route is answered 404
    And the queue has 0 waiting jobs
    And a malformed job is answered 400

  Scenario: Metrics tell what was answered
    When a job of 6 tasks is submitted
    Then it is answered 200 "completed"
    And the metrics count answers with result "completed"
    And the metrics show 2 linked agents

  Scenario: A killed agent
    When a job of 6 tasks is submitted
    And an agent is killed after 60 ms
    Then it is answered 200 "completed"
    And no task ran twice at the same time

  Scenario: A planned stop of an agent
    When a job of 6 tasks is submitted
    And an agent receives SIGTERM after 60 ms
    Then it is answered 200 "completed"
    And each of its tasks started once

  Scenario: A planned stop of the entry
    When a job of 6 tasks is submitted
    And the entry receives SIGTERM after 60 ms
    Then it is answered 200 "completed"
    And the entry is not ready

  # Guards against a job that runs on for nobody: it was freed only if one caller waited for it.
  Scenario: Two callers of one job leave
    When a job of 6 tasks that run for 350 ms is submitted
    And it is submitted once more
    And both callers leave after 100 ms
    Then its runs are stopped within 1000 ms

  Scenario: Starts that are carried out late
    Given each worker carries out its next 2 starts 400 ms late without an answer
    When a job of 6 tasks is submitted
    Then it is answered 200 "completed"
    And no task ran twice at the same time

  Scenario: Many starts at once at workers that answer slowly
    Given entry and agents have run for 3 s
    And each worker takes 25 ms to answer a start
    When a job of 40 small tasks is submitted
    Then it is answered 200 "completed"
    And every task needed one run

  Scenario: A configuration comes into force, also once the store is back
    When the store is down for 600 ms while version 9 drops the route
    Then the route is removed within 2000 ms

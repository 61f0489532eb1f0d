Feature: A worker whose capacity changes at random
  No start brings a worker over its capacity; one that has shrunk counts for the contact time and one heartbeat.

  # Guards against any order of events in which tasks are started by a capacity that no longer holds.
  Scenario: Changing capacities with lost answers, lost heartbeats, pauses and restarts
    When 24 workers with changing capacities run for 60 s each
    Then no start exceeded the capacity
    And each of them has started 50 tasks at least, and all together have shrunk and restarted 50 times

Feature: Entries that can't know whether their configuration is the newest
  A configuration must be in force within a stated time. An entry that has heard neither from the store nor from the other entries for
  that long does not answer callers by an older one.

  Background:
    Given two entries and an agent, whose configuration must be in force within 2000 ms

  # Guards against answers by a replaced configuration from an entry that nothing has reached for longer than the bound.
  Scenario: An entry without word from the store and the other entry refuses callers
    When the store goes silent and the first entry is suspended
    And version 9 drops the route
    And the bound has passed
    Then the second entry answers a count of the queue 503, with a time to retry
    And the second entry answers a count of an unknown queue 503, with a time to retry
    And the second entry answers the first submission on a connection 502, as it may be a repetition
    And the second entry answers the next submission on it 503, as the job has not run
    And the second entry is not ready
    When the store speaks again
    Then the second entry answers a count of the queue 404 within 2000 ms
    And the second entry is ready

  # Guards against an outage of the store that ends the service: no version can be confirmed then, and none can be written.
  Scenario: Entries that reach each other serve on while the store answers none of them
    When the store goes silent
    And the bound has passed twice
    Then the second entry answers a count of the queue 200
    And the second entry answers the first submission on a connection 200
    And the second entry is ready

  # Guards against refusals after each pause of a process: what it knows is old then, and an answer of the store is a few ms away.
  Scenario: A request that arrives while the entry is suspended
    When the second entry is suspended for longer than the bound
    And a count of the queue is requested of it meanwhile
    Then the second entry answers it 200

Feature: A worker whose capacity changes while it runs
  A worker tells its capacity with each heartbeat. Only starts have to fit: what runs goes on after the capacity shrinks.

  Background:
    Given an agent whose worker has 10000 thousandths of a core

  # Guards against a start over the capacity: it shrank between the question to the entry and the grant.
  Scenario: A granted task that no longer fits is given back
    When entry "e1" offers direct tasks "a" of 6000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 4000
    And the worker tells a capacity of 8000
    And entry "e1" grants "b"
    Then entry "e1" gets the report that "b" ended as "not-started"
    And the worker is ordered to start "b" 0 times
    And the worker is ordered to stop nothing

  # Guards against a start over the capacity: the grant was lost, and the claim on the next stream stands for it.
  Scenario: A task that its entry claims instead of granting it is given back if it no longer fits
    When entry "e2" offers direct tasks "a" of 6000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 4000
    And the worker tells a capacity of 8000
    And entry "e1" claims "b"
    Then entry "e1" gets the report that "b" ended as "not-started"
    And the worker is ordered to start "b" 0 times

  # Guards against a start over the capacity: it shrank while the order waited behind others.
  Scenario: A start that still waits to be sent is not sent over a capacity that has shrunk
    When entry "e1" offers direct tasks "a b" of 4000
    And the start of "a" is sent 1 ms later
    And the start of "a" is answered "started"
    And the worker tells a capacity of 6000
    Then the waiting start of "b" is not sent

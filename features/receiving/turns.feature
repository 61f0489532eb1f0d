Feature: Turns of reading
  Which connections pass on what they have read, and how much of it, in one turn of the event loop. Runs without a network. A turn
  has 65,536 bytes, a piece 2,048.

  # Guards against a crowd that sends all at once: what it pipelines becomes objects that are freed only after the turn.
  Scenario: All connections together pass on one turn's bytes
    Given 900 connections with 64000 bytes each
    When a turn passes
    Then 32 connections have passed on 2048 bytes each

  # Guards against connections that are served only after all of a large one was read.
  Scenario: Each connection passes on one piece before the next turn of the first
    Given 40 connections with 64000 bytes each
    When a turn passes
    And a turn passes
    Then 24 connections have passed on 4096 bytes each
    And 16 connections have passed on 2048 bytes each

  # Guards against ordinary callers that wait behind a crowd.
  Scenario: Short requests come first
    Given 900 connections with 64000 bytes each
    And 20 connections with 400 bytes each
    When a turn passes
    Then 20 connections have passed on 400 bytes each

  # Guards against large bodies that are never read while short requests arrive without end.
  Scenario: Short requests leave half of a turn to the others
    Given 2 connections with 64000 bytes each
    And 900 connections with 1024 bytes each
    When a turn passes
    Then 2 connections have passed on 16384 bytes each

  Scenario: A connection that is closed waits no longer
    Given 3 connections with 400 bytes each
    When connection 1 closes
    And a turn passes
    Then 2 connections have passed on 400 bytes each

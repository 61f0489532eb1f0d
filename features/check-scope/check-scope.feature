Feature: Whom an entry asks whether another one has a job
  The load balancer sends a caller to an entry of its own data centre unless it counts none there as ready. While every data
  centre has had a ready entry for 30 s, only the entries of the own one are asked. Whatever is not known makes the entry ask all.

  Background:
    Given entry "n1" of data centre "north" with a balancer that polls each 1000 ms and counts 2 misses
    And it knows entries "n2 n3 of north; s1 s2 of south; w1 w2 of west", all connected

  Scenario: All data centres have had a ready entry for long
    When all entries are polled as ready for 31000 ms
    Then a check asks "n2 n3"

  Scenario: Nothing is known of the load balancer
    Given nothing is known of the balancer
    When all entries are polled as ready for 31000 ms
    Then a check asks "n2 n3 s1 s2 w1 w2"

  # Guards against a first submission elsewhere before this entry or the fleet has started.
  Scenario: Not long enough
    When all entries are polled as ready for 29000 ms
    Then a check asks "n2 n3 s1 s2 w1 w2"

  # Guards against a second run beside that of an entry whose data centre was lost after it had got the job.
  Scenario Outline: A data centre without a ready entry
    When all entries are polled as ready for 31000 ms
    And entries "<lost>" are <state> for 1200 ms
    Then a check asks "n2 n3 s1 s2 w1 w2"
    When all entries are polled as ready for 10000 ms
    Then a check asks "n2 n3 s1 s2 w1 w2"
    When all entries are polled as ready for 31000 ms
    Then a check asks "n2 n3"

    Examples:
      | lost     | state                    |
      | s1 s2    | not polled               |
      | s1 s2    | polled as not ready      |
      | n1 n2 n3 | not polled               |

  Scenario: A data centre with one ready entry left
    When all entries are polled as ready for 31000 ms
    And entries "s1" are not polled for 5000 ms
    Then a check asks "n2 n3"

  # Guards against counting an answer from when it arrives, though it was held up on its way.
  Scenario: The answers of a data centre arrive late
    When all entries are polled as ready for 31000 ms
    And answers of "s1 s2" take 900 ms
    And all entries are polled as ready for 2000 ms
    Then a check at the last moment before answers arrive asks "n2 n3 s1 s2 w1 w2"

  # Guards against the readiness of this entry being taken for granted when it may have answered too late.
  Scenario: This entry has stood still
    When all entries are polled as ready for 31000 ms
    And the entry stands still for 300 ms
    Then a check asks "n2 n3 s1 s2 w1 w2"

  Scenario: An entry of the data centre has been added and is not reached yet
    When all entries are polled as ready for 31000 ms
    And entry "n4" of "north" is added without a stream
    Then a check asks "n2 n3 s1 s2 w1 w2"

  Scenario: An entry of the data centre has ended
    When all entries are polled as ready for 31000 ms
    And entry "n3" of "north" has ended
    Then a check asks "n2"

  Scenario: An entry of a data centre that is new
    When all entries are polled as ready for 31000 ms
    And entry "e1" of "east" is added with a stream
    Then a check asks "n2 n3 s1 s2 w1 w2 e1"

  Scenario: An entry has moved to this data centre
    When all entries are polled as ready for 31000 ms
    And entry "w2" of "north" is added with a stream
    Then a check asks "n2 n3 w2"

  # Guards against an entry that nobody asks, as it is not known to the asker.
  Scenario: An entry that the asker does not know is asked by one that does
    Given "n2" has streams to "n1 n3 n4 s1"
    When "n1" asks it for job "j1" in data centre "north", as it has asked "n2 n3"
    Then "n2" asks "n4"

  # Guards against jobs of which the other data centres never hear, as they were not asked for them.
  Scenario: The other data centres hear of a job that has been open for long
    When all entries are polled as ready for 31000 ms
    And a check of job "j1" asks "n2 n3"
    Then job "j1" is still to be announced

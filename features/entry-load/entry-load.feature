Feature: Load of an entry
  An entry that cannot handle a job within its caller's time refuses it at once, before its body is read. An entry that is
  calm, or busy but in time, refuses nothing.

  Background:
    Given an entry with 0.324 of a core

  Scenario Outline: Whether a job is refused
    When for 2000 ms each tick is <delay> ms late, <used>% of a core are used, and <open> requests are open
    Then a job whose caller waits for 1500 ms is <outcome>

    Examples:
      | load                            | delay | used | open | outcome |
      | idle                            | 0     | 1    | 0    | taken   |
      | busy, but in time               | 10    | 32   | 60   | taken   |
      | full, and still fast enough     | 100   | 32   | 30   | taken   |
      | the event loop is far behind    | 300   | 32   | 30   | refused |
      | more open than it can handle    | 60    | 32   | 300  | refused |
      | many open, all at the workers   | 60    | 10   | 300  | taken   |

  # Guards against shedding after a single pause of the process, such as a collection of garbage or a suspended machine.
  Scenario: A single pause
    When for 2000 ms each tick is 2 ms late, 5% of a core are used, and 3 requests are open
    And one tick is 3000 ms late
    Then a job whose caller waits for 1500 ms is taken

  # Guards against a decision that alternates from one job to the next while the load is at the limit.
  Scenario: Around the limit
    When for 1000 ms each tick is 160 ms late, 32% of a core are used, and 20 requests are open
    Then a job whose caller waits for 1500 ms is refused
    When for 1000 ms each tick is 140 ms late, 32% of a core are used, and 20 requests are open
    Then a job whose caller waits for 1500 ms is refused
    When for 1000 ms each tick is 60 ms late, 32% of a core are used, and 20 requests are open
    Then a job whose caller waits for 1500 ms is taken
    When for 1000 ms each tick is 140 ms late, 32% of a core are used, and 20 requests are open
    Then a job whose caller waits for 1500 ms is taken

  # Guards against an entry that goes on refusing when the peak is over.
  Scenario: An idle machine after a burst
    When for 2000 ms each tick is 400 ms late, 32% of a core are used, and 200 requests are open
    Then a job whose caller waits for 1500 ms is refused
    When for 300 ms each tick is 0 ms late, 1% of a core are used, and 0 requests are open
    Then a job whose caller waits for 1500 ms is taken

  Scenario: A caller that waits for longer is served
    When for 2000 ms each tick is 200 ms late, 32% of a core are used, and 20 requests are open
    Then a job whose caller waits for 5000 ms is taken
    And a job whose caller waits for 1500 ms is refused

  # Guards against one caller with a very short deadline that makes the entry refuse the others.
  Scenario: A caller with a short deadline does not tighten the limit of the others
    When for 2000 ms each tick is 100 ms late, 10% of a core are used, and 5 requests are open
    Then a job whose caller waits for 1500 ms is taken
    And a job whose caller waits for 1 ms is refused
    And a job whose caller waits for 1500 ms is taken

  # Guards against a retry time that does not depend on how far behind the entry is.
  Scenario: The retry time follows the backlog
    When for 2000 ms each tick is 60 ms late, 32% of a core are used, and 1000 requests are open
    Then a job whose caller waits for 1500 ms is refused
    And its retry time is about the time in which 1000 requests are handled, less what a retry may wait

  # Guards against 503 for a job that another entry may run: 503 tells the caller that it never runs.
  Scenario Outline: The status of a refusal
    When for 2000 ms each tick is 400 ms late, 32% of a core are used, and 20 requests are open
    And a <submission> arrives
    Then its caller is answered <status> with nothing read of its body

    Examples:
      | submission                                      | status |
      | second submission on a connection               | 503    |
      | first submission on a connection                | 502    |
      | second submission after the entry stood still   | 502    |

  # Guards against a refusal of a repetition whose first submission this entry serves.
  Scenario: A job that the entry has open
    When for 2000 ms each tick is 400 ms late, 32% of a core are used, and 20 requests are open
    And a submission of a job that the entry serves arrives
    Then the entry gets it

  # Guards against a change of behaviour where the settings do not tell the machine's share of the processor.
  Scenario: Without settings of the machine
    When for 2000 ms each tick is 400 ms late, 32% of a core are used, and 20 requests are open
    And a second submission arrives at an entry without settings of the machine
    Then the entry gets it

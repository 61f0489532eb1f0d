Feature: Time line
  Each process keeps its latest events; those of several processes are merged in causal order.

  Scenario Outline: A cause comes before its effect whatever the clocks say
    Given timelines of "e1 a1 a2" whose clocks are off by "<offsets>" ms
    When a job passes from "e1" to "a1" to "a2" and back in <step> ms a hop
    Then the merged events are in the order in which they were recorded

    Examples:
      | offsets         | step |
      | 0 0 0           | 1    |
      | 0 0 0           | 0    |
      | 0 -5000 5000    | 1    |
      | 5000 0 -5000    | 0.2  |
      | 30000 -29000 0  | 1    |

  Scenario Outline: A stamp too far ahead is not followed
    Given timelines of "e1 a1" whose clocks are off by "0 <ahead>" ms
    When "e1" receives a message from "a1"
    Then the next stamp of "e1" is <ahead2> ms ahead of its clock

    Examples:
      | ahead  | ahead2 |
      | 1000   | 1000   |
      | 59000  | 59000  |
      | 61000  | 0      |
      | 900000 | 0      |

  Scenario: A ring keeps the latest events and says that older ones are gone
    Given a timeline of "a1" that keeps 100 events
    When 250 events are recorded on "a1", one a ms
    Then "a1" lists the events 150 to 249
    And the report since event 100 names "a1" as incomplete
    And the report since event 200 names none as incomplete

  Scenario Outline: Events are selected
    Given a timeline of "a1" that keeps 100 events
    When 40 events of customers c0 to c3 and jobs j0 to j7 are recorded in turn on "a1"
    Then selecting <selection> gives <count> events

    Examples:
      | selection                         | count |
      | {}                                | 40    |
      | {"job": "j5"}                     | 5     |
      | {"customer": "c2"}                | 10    |
      | {"customer": "c2", "limit": 3}    | 3     |
      | {"job": "j5", "customer": "c2"}   | 0     |
      | {"since": 1700000000030}          | 10    |

  Scenario: Processes that did not answer are named
    Given a timeline of "a1" that keeps 100 events
    When 3 events are recorded on "a1", one a ms
    Then a report that queried "a1 a2 e1" names "a2 e1" as missing

  Scenario: Random messages among skewed clocks keep causal order
    Then 200 random runs of 5 processes with clocks off by up to 20000 ms keep causal order

Feature: Limits over several entries
  Each entry enforces a share of a contract by recent demand. Together they stay within a stated overshoot,
  even when they do not receive each other's summaries.

  Scenario Outline: The overshoot has a bound
    Given <entries> entries and a contract for 1000 tasks a second and a burst of 200
    When jobs come "<load>" while the entries are "<link>"
    Then the admitted tasks exceed the contract by no more than the stated bound
    And no more tasks are in flight than the stated bound
    And at least <part>% of what the contract allows is admitted

    Examples:
      | entries | load                         | link                 | part |
      | 3       | in a flood everywhere        | connected            | 90   |
      | 10      | in a flood everywhere        | connected            | 90   |
      | 3       | in a flood at one entry      | connected            | 95   |
      | 10      | in a flood at one entry      | connected            | 95   |
      | 3       | in a flood that moves around | connected            | 70   |
      | 10      | in a flood that moves around | connected            | 60   |
      | 3       | in a flood everywhere        | cut off from all     | 90   |
      | 10      | in a flood everywhere        | cut off from all     | 90   |
      | 3       | in a flood that moves around | cut off from all     | 25   |
      | 10      | in a flood that moves around | cut off from all     | 8    |
      | 3       | in a flood at one entry      | split after 5 s      | 45   |
      | 10      | in a flood that moves around | split after 5 s      | 20   |
      | 10      | in a flood everywhere        | split after 5 s      | 90   |
      | 3       | in a flood everywhere        | deaf at one entry    | 90   |
      | 10      | in a flood that moves around | deaf at one entry    | 8    |
      | 10      | in a flood at the second half | deaf in the first half | 50 |

  Scenario Outline: Tasks in flight have a bound while answers are slow
    Given <entries> entries and a contract for <rate> tasks a second and a burst of <burst>
    And 1000 tasks in flight, answered after <time> ms
    When jobs come "<load>" while the entries are "<link>"
    Then no more tasks are in flight than the stated bound

    Examples:
      | entries | rate   | burst | time  | load                         | link             |
      | 3       | 100000 | 5000  | 3000  | in a flood everywhere        | connected        |
      | 10      | 100000 | 9000  | 3000  | in a flood everywhere        | connected        |
      | 3       | 1000   | 200   | 10000 | in a flood that moves around | connected        |
      | 10      | 1000   | 200   | 10000 | in a flood that moves around | connected        |
      | 3       | 100000 | 5000  | 3000  | in a flood everywhere        | cut off from all |
      | 10      | 1000   | 200   | 10000 | in a flood that moves around | split after 5 s  |

  Scenario Outline: A customer can begin at once at an entry
    Given <entries> entries and a contract for 1000 tasks a second and a burst of 200
    When another entry has taken all of a customer's work for a while
    Then the first job of the customer at a second entry is admitted

    Examples:
      | entries |
      | 3       |
      | 10      |

  Scenario: Summaries from outside are checked
    Then a parsed summary equals the computed one
    And a summary with a negative demand is refused

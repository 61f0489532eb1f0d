Feature: Choice of agents
  Each task goes to an agent with free capacity where it is expected to complete earliest.

  Scenario Outline: An agent that cannot run tasks gets none
    Given placement on "a1" over agents "a1 a2 a3" in one data centre
    When placement learns that agent "a2" is <state>
    Then placing 24 tasks gives agent "a2" <tasks> tasks

    Examples:
      | state               | tasks |
      | healthy             | 8     |
      | leaving             | 0     |
      | ejected             | 0     |
      | without slots       | 0     |
      | not reported yet    | 0     |
      | no longer a member  | 0     |
      | not among the peers | 0     |

  Scenario Outline: An agent gets at most its free slots and a short queue
    Given placement on "a1" over agents "a1 a2 a3" in one data centre
    And <sent> tasks were sent to "a2" since its report of <free> free slots and <queued> queued
    Then placing 760 tasks gives agent "a2" <tasks> tasks

    Examples:
      | sent | free | queued | tasks |
      | 0    | 8    | 0      | 10    |
      | 3    | 8    | 0      | 7     |
      | 0    | 5    | 0      | 7     |
      | 2    | 5    | 0      | 5     |
      | 0    | 0    | 0      | 2     |
      | 0    | 0    | 2      | 0     |
      | 10   | 8    | 0      | 0     |

  Scenario Outline: A report reflects what was sent a round trip before it
    Given placement on "a1" over agents "a1 a2 a3" in one data centre
    And 4 tasks are sent to "a2" and <ended> of them end
    When <delay> ms later "a2" reports <free> free slots
    Then placing 760 tasks gives agent "a2" <tasks> tasks

    Examples:
      | ended | delay | free | tasks |
      | 0     | 0.5   | 8    | 6     |
      | 0     | 0.5   | 5    | 3     |
      | 0     | 5     | 4    | 6     |
      | 0     | 5     | 8    | 6     |
      | 4     | 5     | 8    | 10    |

  Scenario Outline: Tasks stay in the data centre unless the wait is longer there
    Given placement on "a1" over agents "a1 a2" here and "b1" in another data centre
    And tasks run <run> ms and the agents here have <free> free slots
    Then the next task goes to <place>

    Examples:
      | free | run | place         |
      | 8    | 200 | this process  |
      | 1    | 200 | this process  |
      | 0    | 16  | this process  |
      | 0    | 80  | another place |
      | 0    | 200 | another place |

  Scenario Outline: An old report of few free slots is not relied on
    Given placement on "a1" over agents "a1 a2" here and "b1" in another data centre
    And agent "a1" is full and "a2" reported 1 free slot <age> ms ago
    Then the next task goes to <place>

    Examples:
      | age | place         |
      | 0   | agent a2      |
      | 100 | another place |

  Scenario: A straggler gets nothing while others have room
    Given an entry's placement over agents "a1 a2 a3" in one data centre
    When 40 tasks run 100 ms at each agent but 500 ms at "a2"
    Then placing 16 tasks gives agent "a2" 0 tasks
    And placing 24 tasks gives agent "a2" 4 tasks

  Scenario Outline: Every policy hands out what there is room for, and no more
    Given placement by "<policy>" over agents "a1 a2 a3 a4"
    Then placing 760 tasks gives every agent 10 tasks
    And placing 4 tasks gives 4 tasks in all

    Examples:
      | policy       |
      | two-choices  |
      | random       |
      | round-robin  |
      | least-loaded |

  Scenario: An agent that restarted begins with an empty record
    Given placement on "a1" over agents "a1 a2 a3" in one data centre
    When placement learns that agent "a2" has restarted
    Then placing 24 tasks gives agent "a2" 0 tasks
    And a report of the earlier incarnation of "a2" is ignored

  Scenario Outline: The home of a job is an agent that takes work
    Given an entry's placement over agents "a1 a2 a3" in one data centre
    When placement learns that agents "<agents>" are <state>
    Then the home of a job is <home>

    Examples:
      | agents   | state            | home                 |
      | a1 a3    | full             | a2                   |
      | a1 a3    | leaving          | a2                   |
      | a1 a2 a3 | full             | one of a1 a2 a3      |
      | a1 a2 a3 | not reported yet | one of a1 a2 a3      |
      | a1 a2 a3 | ejected          | none (none-eligible) |
      | a1 a2 a3 | leaving          | none (none-eligible) |
      | a1 a2 a3 | gone             | none (no-agent)      |

  Scenario: Messages that did no good are counted
    Given placement on "a1" over agents "a1 a2 a3" in one data centre
    When 2 messages of 5 tasks are sent and 3 tasks are refused as "queue-full"
    And "a2" reports 8 free slots 4 times in "load" messages
    Then the counters of placement are "startMessages 2, tasksSent 10, tasksRefused 3, loadMessages 4, unchangedReports 4"

  Scenario Outline: A large fleet is reduced to a bounded set of peers
    Given an entry's placement over <agents> agents of which <local> are in this data centre
    When the peers are drawn
    Then there are <peers> peers, at least <near> of them in this data centre
    And a redraw after the interval replaces at most 4 of them
    And an ejected peer is replaced at once

    Examples:
      | agents | local | peers | near |
      | 20     | 10    | 20    | 10   |
      | 1500   | 214   | 32    | 6    |
      | 1500   | 750   | 32    | 20   |

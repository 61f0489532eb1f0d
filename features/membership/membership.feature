Feature: Membership
  Every process keeps an up-to-date list of the others, even when messages are lost and processes fail.

  Scenario Outline: A member that is in trouble is seen as such, and no other
    Given a fleet of <size> members
    When member "m3" <fault>
    Then within <seconds> seconds every other member sees "m3" as <status>
    And no member but "m3" was seen as dead by the others

    Examples:
      | size | fault                                | seconds | status  |
      | 2    | dies                                 | 10      | dead    |
      | 11   | dies                                 | 10      | dead    |
      | 50   | dies                                 | 12      | dead    |
      | 12   | freezes                              | 10      | dead    |
      | 12   | can receive but not send             | 15      | dead    |
      | 12   | can send but not receive             | 15      | dead    |
      | 11   | leaves                               | 2       | leaving |
      | 14   | leaves                               | 2       | leaving |
      | 11   | leaves and then dies                 | 15      | dead    |
      | 14   | ends gracefully                      | 2       | dead    |

  Scenario Outline: A member that works is not held to have failed
    Given a fleet of <size> members
    When <condition> for <seconds> seconds
    Then nobody was seen as <status>
    And within 60 seconds all members see each other as alive

    Examples:
      | size | condition                                 | seconds | status  |
      | 12   | every datagram arrives                    | 60      | suspect |
      | 12   | member "m3" handles datagrams 250 ms late | 120     | suspect |
      | 12   | member "m3" handles datagrams 700 ms late | 120     | dead    |
      | 12   | 20 percent of datagrams are lost          | 600     | dead    |
      | 50   | 20 percent of datagrams are lost          | 120     | dead    |
      | 12   | nothing passes from "m3" to "m5"          | 120     | suspect |
      | 12   | nothing passes between "m3" and "m5"      | 120     | suspect |
      | 12   | member "m3" freezes every 8 seconds for 3 | 60      | dead    |

  Scenario Outline: A member that was held to be dead comes back
    Given a fleet of 12 members
    When member "m3" <fault> for <seconds> seconds
    Then every other member saw "m3" as dead
    And within 30 seconds all members see each other as alive
    And no member but "m3" was seen as dead by the others

    Examples:
      | fault                    | seconds |
      | freezes                  | 30      |
      | can receive but not send | 30      |
      | can send but not receive | 30      |

  Scenario: A frozen member that wakes does not blame a suspect
    Given a fleet of 12 members
    When member "m4" reports to "m3" only that "m5" is suspect
    And member "m3" freezes for 30 seconds and misses what arrives meanwhile
    Then within 30 seconds all members see each other as alive
    And no member but "m3" was seen as dead by any member

  Scenario: An accusation by a member held to be dead is not believed
    Given a fleet of 12 members
    When member "m3" can receive but not send for 30 seconds
    And member "m3" reports to "m1" only that "m5" is dead
    Then member "m1" sees "m5" as alive

  Scenario: A member that learns that it was held to be dead takes back its accusations
    Given a fleet of 12 members
    When member "m4" reports to "m3" only that "m5" is suspect
    And member "m4" reports to "m3" only that "m3" is dead
    Then member "m3" has no report of a suspect or dead member in its queue

  Scenario: A member that reaches nobody slows its probes
    Given a fleet of 12 members
    When member "m3" can send but not receive
    Then within 30 seconds the local health score of "m3" is at least 3

  Scenario: An accuser that has not heard of the leaving does not undo it
    Given a fleet of 12 members
    When member "m3" leaves
    Then within 2 seconds every other member sees "m3" as leaving
    When member "m4" reports to "m1" only that "m3" is suspect
    Then member "m1" sees "m3" as leaving

  Scenario: A joining member whose first request is lost asks again
    Given a fleet of 50 members
    When member "new" starts with peer "m1" while its datagrams are lost for 300 ms
    Then within 2 seconds "new" sees 50 members

  Scenario Outline: A member that restarts with the same address replaces its former life
    Given a fleet of 12 members
    When member "m3" <fault> and starts again after <milliseconds> ms
    Then within 10 seconds all members see each other as alive
    And nobody saw an earlier incarnation of "m3" after the present one

    Examples:
      | fault                | milliseconds |
      | dies                 | 5            |
      | dies                 | 1500         |
      | dies                 | 20000        |
      | leaves and then dies | 5            |

  Scenario: A member that leaves and is cut off for a while is never alive again in the same life
    Given a fleet of 12 members
    When member "m3" leaves
    And member "m3" can receive but not send for 30 seconds
    Then within 30 seconds every other member sees "m3" as leaving

  Scenario: The loss of a data centre is seen, and its members only
    Given a fleet of 12 members in 4 data centres
    When the data centre "dc-1" is lost
    Then within 15 seconds the others see each other as alive and the lost members as dead

  Scenario Outline: Two halves that were cut off from each other meet again
    Given a fleet of <size> members
    When <share> of the members are cut off from the rest for <seconds> seconds
    Then within 60 seconds all members see each other as alive

    Examples:
      | size | share | seconds |
      | 12   | 6     | 60      |
      | 12   | 1     | 60      |
      | 12   | 6     | 800     |
      | 50   | 20    | 60      |

  Scenario: A fleet that starts all at once finds itself
    Given 50 members that start at the same moment
    Then within 8 seconds all members see each other as alive

  Scenario: A process whose only peer is not up yet joins later
    Given a fleet of 3 members
    When member "m1" dies
    And member "m9" starts with peer "m1" only
    And member "m1" dies and starts again after 5000 ms
    Then within 20 seconds all members see each other as alive

  Scenario: A name that is used twice is reported by the earlier process
    Given a fleet of 5 members
    When another process takes the name "m3" at another address
    Then within 10 seconds the earlier process "m3" reports that it is superseded

  Scenario Outline: A higher revision is known everywhere within two seconds
    Given a fleet of <size> members
    And <loss> percent of datagrams are lost
    When member "m3" announces revision 7
    Then within 2 seconds every member knows of revision 7
    And within <seconds> seconds every other member knows that "m3" has revision 7

    Examples:
      | size | loss | seconds |
      | 12   | 0    | 2       |
      | 12   | 20   | 5       |
      | 200  | 0    | 2       |
      | 200  | 20   | 15      |

  Scenario: A lower revision changes nothing
    Given a fleet of 3 members
    When member "m1" announces revision 7
    And member "m1" announces revision 6
    Then within 2 seconds every other member knows that "m1" has revision 7

  Scenario: Cost does not grow with the fleet
    Given a fleet of 100 members
    Then in 60 seconds each member sends at most 500 bytes a second
    And no datagram was longer than 1200 bytes

  Scenario Outline: Settings that cannot work together are refused
    Then a probe interval of <interval> ms with "<key>" at <value> ms is refused

    Examples:
      | interval | key            | value |
      | 1000     | probeTimeoutMs | 300   |
      | 400      | tickMs         | 300   |

  Scenario: Random faults leave the view sound
    Given a fleet of 14 members with a seed from SEED
    When random faults happen for 300 seconds and then stop
    Then within 120 seconds all members see each other as alive
    And no view ever violated an invariant

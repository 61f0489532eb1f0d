Feature: Planned stop of an entry
  A stopping entry serves what it can within its grace period.

  Scenario Outline: How long an entry goes on
    When an entry with a grace period of <grace> ms is stopped
    Then it stays for <stay> ms and gives up open jobs after <give up> ms

    Examples:
      | grace | stay | give up |
      | 10000 | 5000 | 9100    |
      | 6000  | 3000 | 5100    |

    # Guards against an entry that gives up its jobs halfway through a short grace period, or ends while the balancer still sends it new ones.
    Examples: Short grace periods
      | grace | stay | give up |
      | 3000  | 2200 | 2550    |
      | 2000  | 1700 | 1700    |
      | 1000  | 850  | 850     |

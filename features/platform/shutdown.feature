Feature: Planned stop of an entry
  A stopping entry serves what it can within its grace period.

  Scenario Outline: How long an entry goes on
    When an entry with a grace period of <grace> ms is stopped
    Then it stays for <stay> ms and gives up open jobs after <give up> ms

    Examples:
      | grace | stay | give up |
      | 10000 | 5000 | 9100    |
      | 6000  | 3000 | 5100    |

    # Guards against an entry that gives up its jobs halfway through a short grace period.
    Examples: Short grace periods
      | grace | stay | give up |
      | 2000  | 1000 | 1700    |
      | 1000  | 500  | 850     |

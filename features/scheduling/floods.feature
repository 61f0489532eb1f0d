Feature: Shares under floods
  One agent of 8 slots, simulated on a seeded clock. Compared with a run without the flood, customers within
  their contract keep 95% of the throughput and 99% of the success rate, and their p99 at most doubles.

  Scenario Outline: Other customers keep their work
    When there is a flood "<flood>" under the policy "fair"
    Then every other customer keeps 95% of its throughput and 99% of its success rate
    And the p99 of every other customer at most doubles

    Examples:
      | flood                                     |
      | least urgent from one customer            |
      | most urgent from one customer             |
      | least urgent from twenty customers        |
      | most urgent from twenty customers         |
      | long tasks from one customer              |
      | tasks just below long from one customer   |
      | mostly short, a few long from one customer |
      | most urgent long tasks from ten customers |
      | another kind of a steady customer         |
      | long tasks of a steady customer           |

  Scenario: A customer of 2 s tasks that uses half of its share keeps its p99 under a flood
    When there is a flood "most urgent from one customer" beside a customer of 2 s tasks that uses half of its share
    Then the p99 of every other customer at most doubles

  Scenario Outline: A flood does not starve the other kinds of its own customer
    When there is a flood "<flood>" under the policy "fair"
    Then the customer's other kinds keep 95% of their throughput

    Examples:
      | flood                             |
      | another kind of a steady customer |
      | long tasks of a steady customer   |

  Scenario Outline: One customer alone is served by all slots
    When there is nothing but a flood "<flood>"
    Then no slot is idle while its tasks are queued

    Examples:
      | flood                                      |
      | least urgent from one customer             |
      | long tasks from one customer               |
      | mostly short, a few long from one customer |

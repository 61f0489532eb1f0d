Feature: Subsets of entries and agents
  Every process computes from the known names which streams it keeps. No process looks at another one's choice.

  Scenario Outline: Agents are reached by about as many entries each, and entries keep few streams
    Given <entries> entries and <agents> agents
    Then the entry with most streams keeps at most <most>
    And the agent with most entries has at most 1.5 times as many as the one with fewest
    And entries and agents choose the same streams

    Examples:
      | entries | agents | most |
      | 4       | 11     | 11   |
      | 13      | 73     | 52   |
      | 35      | 160    | 52   |
      | 55      | 245    | 56   |
      | 330     | 1500   | 64   |

  Scenario Outline: The loss of <lost> moves few streams between the others
    Given <entries> entries and <agents> agents
    When <lost> is lost
    Then no stream between the others is closed, and at most as many are opened as it had
    And once it is forgotten, at most 48 streams between the others are closed

    Examples:
      | entries | agents | lost      |
      | 13      | 73     | one entry |
      | 35      | 160    | one entry |
      | 35      | 160    | one agent |
      | 330     | 1500   | one entry |
      | 330     | 1500   | one agent |

  Scenario Outline: After the loss of <share> of the <role> every agent has entries and every entry has agents
    Given 35 entries and 160 agents
    When <share> of the <role> cannot be reached
    Then every agent that is left has at least 4 entries that are left
    And every entry that is left has at least 8 agents that are left

    Examples:
      | share   | role    |
      | a third | agents  |
      | half    | entries |
      | a sixth | both    |

  Scenario Outline: News reach every entry over few neighbours, also after the loss of <lost> of <entries> entries
    Given <entries> entries and 10 agents
    When <lost> entries cannot be reached
    Then every entry that is left is at most <hops> steps from every other one
    And the entry with most neighbours has at most <most>

    Examples:
      | entries | lost | hops | most |
      | 4       | 1    | 1    | 3    |
      | 35      | 0    | 4    | 16   |
      | 35      | 17   | 4    | 16   |
      | 330     | 100  | 6    | 20   |

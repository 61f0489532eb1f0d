Feature: Connections to the store that go silent
  A connection that is open may deliver nothing any more, without being reset, while new ones work.

  # Guards against a configuration that is hidden for seconds by a watch on a silent connection.
  Scenario Outline: A configuration is applied in time although the watch has gone silent <age> ms after it began
    Given an entry that watches the configuration, to be applied within <bound> ms
    When the connections to the store go silent <age> ms after the watch began
    And an operator writes another configuration <delay> ms later
    Then the entry applies it within <bound> ms

    Examples:
      | bound | age  | delay |
      | 2000  | 0    | 0     |
      | 2000  | 0    | 3500  |
      | 2000  | 350  | 10    |
      | 2000  | 690  | 0     |
      | 3000  | 0    | 0     |
      | 3000  | 1000 | 0     |

  # Guards against a load on the store that grows with the time bound's strictness beyond what it serves.
  Scenario: A watch without changes takes at most two calls a second
    Given an entry that watches the configuration, to be applied within 2000 ms
    When 60 s pass without a change
    Then it has called the store at most 120 times

  # Guards against a second wait, on another connection that has gone silent with the first one.
  Scenario: After a call without an answer the next one uses a new connection
    Given a client of the store with two open connections
    When both connections go silent
    And a call gets no answer
    Then the next call is answered, on a new connection

Feature: Ejection of sick agents
  An agent that fails far more often than its peers gets no tasks other than trials.

  Scenario Outline: Failures are weighed against the peers
    Given outlier ejection of 11 agents with 20 successes each
    When for <time> ms agent "a0" fails <sick>% and the others <others>% of their tasks, 20 tasks a second each
    Then exactly <ejected> agents are ejected

    Examples:
      | time  | sick | others | ejected |
      | 5000  | 0    | 0      | 0       |
      | 1000  | 100  | 0      | 1       |
      | 2000  | 100  | 10     | 1       |
      | 5000  | 50   | 1      | 1       |
      | 10000 | 5    | 5      | 0       |
      | 10000 | 10   | 10     | 0       |
      | 10000 | 100  | 100    | 0       |
      | 10000 | 95   | 90     | 0       |

  Scenario Outline: At most a set share of the fleet is ejected
    Given outlier ejection of <agents> agents with 20 successes each
    When for 3000 ms <sick> agents fail everything, 20 tasks a second each
    Then exactly <ejected> agents are ejected

    Examples:
      | agents | sick | ejected |
      | 11     | 1    | 1       |
      | 11     | 3    | 3       |
      | 11     | 5    | 3       |
      | 3      | 1    | 1       |
      | 2      | 1    | 0       |

  Scenario Outline: What says nothing of an agent ejects none
    Given outlier ejection of 11 agents with 20 successes each
    When agent "a0" has 50 results that are "<status>" from its <incarnation> incarnation
    Then exactly 0 agents are ejected

    Examples:
      | status      | incarnation |
      | not-started | present     |
      | failed      | previous    |

  Scenario: Results of the peers are awaited before a verdict
    Given outlier ejection of 11 agents with 20 successes each
    When agent "a0" has 50 results that are "failed" within 1 ms
    Then exactly 0 agents are ejected
    But 1100 ms later 1 agent is ejected

  Scenario: A kind that fails everywhere arrives at one agent first
    Given outlier ejection of 11 agents with 20 successes each
    When agent "a0" has 8 results that are "failed" within 1 ms
    And 200 ms later every other agent has 8 results that are "failed"
    Then exactly 0 agents are ejected
    And 5000 ms later 0 agents are ejected

  Scenario: An ejected agent returns by a run of successful trials
    Given outlier ejection of 11 agents with 20 successes each
    And agent "a0" is ejected
    Then no trial is due before 1000 ms, and then one at a time
    And failed trials are due after 2000, 4000, 8000, 16000, 30000 and 30000 ms
    And after 5 successful trials agent "a0" is in service
    And an agent that is ejected again waits 30000 ms for its first trial

  Scenario: A trial by a kind that fails everywhere says nothing
    Given outlier ejection of 11 agents with 20 successes each
    And agent "a0" is ejected
    When for 5000 ms agent "a0" fails 0% and the others 100% of their tasks, 20 tasks a second each
    And a trial of "a0" fails
    Then the next trial is due after 1000 ms

  Scenario: A restarted agent is in service
    Given outlier ejection of 11 agents with 20 successes each
    And agent "a0" is ejected
    When outlier ejection is informed that agent "a0" restarted
    Then exactly 0 agents are ejected

Feature: An agent of a closed data centre
  While its data centre is closed an agent starts nothing and hands back what waits. What runs goes on to its end.

  Background:
    Given an agent whose worker has 10000 thousandths of a core

  # Guards against a queue that waits until the data centre opens again, while workers elsewhere are free.
  Scenario: Tasks that wait are handed back, and what runs goes on
    When entry "e1" offers direct tasks "a" of 9000
    And the start of "a" is answered "started"
    And entry "e1" offers tentative tasks "b" of 4000
    And entry "e2" offers tentative tasks "c" of 4000
    And the data centre of the agent is closed
    Then entry "e1" gets the report that "b" ended as "not-started"
    And entry "e2" gets the report that "c" ended as "not-started"
    And the worker is ordered to stop nothing
    And the agent reports the mode "closed"

  # Guards against a start in a closed data centre: the entry granted the task before it learned of the closing.
  Scenario: A task that is granted after the closing is not started
    When entry "e1" offers tentative tasks "a" of 4000
    And the data centre of the agent is closed
    And entry "e1" grants "a"
    Then the worker is ordered to start nothing
    And entry "e1" gets the report that "a" ended as "not-started"

  # Guards against a start in a closed data centre: the offer was on its way when the closing arrived.
  Scenario Outline: A <kind> offer that arrives after the closing is refused
    When the data centre of the agent is closed
    And entry "e1" offers <kind> tasks "a" of 4000
    Then the worker is ordered to start nothing
    And entry "e1" gets the report that "a" ended as "not-started"

    Examples:
      | kind      |
      | direct    |
      | tentative |

  # Guards against a start in a closed data centre: the order waited behind others when the closing arrived.
  Scenario: A start order that waits to be sent is not sent, and the task is handed back
    When entry "e1" offers direct tasks "a" of 4000
    And the data centre of the agent is closed
    Then the waiting start of "a" is not sent
    When the start of "a" is answered "refused"
    Then entry "e1" gets the report that "a" ended as "not-started"

  # Guards against a second start order in a closed data centre, after the worker has not taken the first one.
  Scenario Outline: A start that the worker answers as "<answer>" is not repeated
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is sent 1 ms later
    And the data centre of the agent is closed
    And the start of "a" is answered "<answer>"
    Then entry "e1" gets the report that "a" ended as "not-started"
    And the worker is ordered to start "a" 1 time

    Examples:
      | answer   |
      | fenced   |
      | outdated |
      | late     |

  # Guards against a second start in a closed data centre: the first one got no answer and was stopped.
  Scenario: A start without an answer is not repeated after its stop
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is sent 1 ms later
    And the start of "a" is answered "unanswered"
    And the data centre of the agent is closed
    And 200 ms pass and a snapshot shows no runs
    And the stop of "a" is answered "stopped"
    And 10 ms pass and a snapshot shows no runs
    Then entry "e1" gets the report that "a" ended as "not-started"
    And the worker is ordered to start "a" 1 time

  # Guards against a start in a closed data centre, or a lost task: the grant was lost, and the claim stands for it.
  Scenario: A task that its entry claims after the closing is handed back
    When entry "e1" offers tentative tasks "a" of 4000
    And the data centre of the agent is closed
    And entry "e1" claims "a"
    Then the worker is ordered to start nothing
    And entry "e1" gets 2 reports that "a" ended as "not-started"

  # Guards against a canary or suspect that starts alone in a closed data centre.
  Scenario: An isolated task is handed back
    When entry "e1" offers direct tasks "x" of 1000
    And entry "e1" offers tentative tasks "a" of 4000 as canary
    And the data centre of the agent is closed
    And entry "e1" grants "a"
    Then entry "e1" gets the report that "a" ended as "not-started"
    And the worker is ordered to start "a" 0 times

  # Guards against an agent that has no say yet when it starts in a closed data centre.
  Scenario: An agent that learns of the closing before it knows its worker starts nothing
    Given an agent that restarted without a heartbeat since
    When the data centre of the agent is closed
    Then the agent reports the mode "closed"
    When entry "e1" offers direct tasks "a" of 1000
    Then the worker is ordered to start nothing

  # Guards against a data centre that stays unused after the key was deleted.
  Scenario: Tasks start at once after the opening
    When the data centre of the agent is closed
    And the data centre of the agent is opened
    Then the agent accepts tasks
    When entry "e1" offers direct tasks "a" of 4000
    Then the worker is ordered to start "a"

  # Guards against estimates that the runs on a worker that has just been reopened distort.
  Scenario: The run time on a cold worker changes no estimate
    When the worker tells that it stays cold for 300 ms
    And entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And 250 ms go by
    And the worker lists "a" as ended "done"
    Then "a" is reported as run on a cold worker
    And the load tells a slowness of 1 and that the worker stays cold for 50 ms at the most
    When the worker tells that it stays cold for 0 ms
    And entry "e1" offers direct tasks "b" of 4000
    And the start of "b" is answered "started"
    And 250 ms go by
    And the worker lists "b" as ended "done"
    Then "b" is not reported as run on a cold worker

  # Guards against a worker that is lost, as its heartbeat is refused for a field that is not needed.
  Scenario Outline: A heartbeat with the cold time <text> is taken
    When the cold time <text> comes with a heartbeat
    Then the worker stays cold for "<time>" ms

    Examples:
      | text   | time    |
      | 1500   | 1500    |
      | 0      | 0       |
      | none   | unknown |
      | null   | unknown |
      | -1     | unknown |
      | "long" | unknown |
      | 1e400  | unknown |

Feature: Sessions between entries and agents
  A claim begins a session and settles where the tasks of its entry are. Messages that were sent before it, and arrive
  later on another stream, are not acted on.

  # Guards against a start by an offer that arrives after the claim that disowned it, and against the like of other messages.
  Scenario Outline: A message of an entry is <result> if it arrives <when>
    Given an agent with session 1 of entry "e1" incarnation 1
    When <when>
    Then an offer, a grant and a withdrawal of session <session> of incarnation <incarnation> are <result>

    Examples:
      | when                                                  | session | incarnation | result       |
      | nothing else arrives                                  | 1       | 1           | acted on     |
      | the claim of session 2 of incarnation 1 arrives       | 1       | 1           | not acted on |
      | the claim of session 2 of incarnation 1 arrives       | 2       | 1           | acted on     |
      | nothing else arrives                                  | 2       | 1           | not acted on |
      | the claim of session 1 of incarnation 2 arrives       | 1       | 1           | not acted on |

  # Guards against a claim that arrives late and brings back what a later one has settled.
  Scenario: A claim of an earlier session is not acted on
    Given an agent with session 1 of entry "e1" incarnation 1
    When the claim of session 3 of incarnation 1 arrives
    Then the claim of session 2 of incarnation 1 is not acted on

  # Guards against moving a task that runs, on a report about an earlier offer of it.
  Scenario: A report is not acted on once its entry has opened another session, or has none
    Given an entry with session 1 to agent "a1"
    Then a report of session 1 from "a1" is acted on
    When the entry opens another session with "a1"
    Then a report of session 1 from "a1" is not acted on
    And a report of session 2 from "a1" is acted on
    When the entry ends its session with "a1"
    Then a report of session 2 from "a1" is not acted on

  # Guards against a direct start by an offer that was held up together with the claim before it.
  Scenario: An offer behind a claim that was held up is confirmed before it starts
    Given an agent that has not heard of its entry for 600 ms
    When a claim and an offer arrive together
    Then the agent asks the entry about the offer instead of starting it

  # Guards against tasks that wait for a grant, or for an offer, that was lost with one of two streams.
  Scenario: A session that replaces another one claims what was placed and offers the rest anew
    Given an entry with a task placed on agent "a1" and another one offered to it
    When one of two streams to "a1" closes
    Then the entry claims the first task in a new session
    And it offers the second one again after the claim

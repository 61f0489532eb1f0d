@processes
Feature: Separate processes under kills, freezes and replacement
  The answers to callers agree with the ledgers of the targets while processes are killed, frozen and replaced.

  Scenario Outline: Separate processes while <fault>
    Given 2 entries and 4 agents as separate processes
    When <fault> under load
    Then the ledgers of the targets agree with every answer
    And the callers of each tracked job received "<outcomes>"

    Examples:
      | fault                                         | outcomes          |
      | an agent is killed that is the home of jobs   | unknown           |
      | an agent is frozen until it is taken for dead | unknown, complete |
      | streams to an agent fall silent for a while   | complete          |
      | an entry is killed while a caller waits       | error, complete   |
      | an agent gets a second signal                 | unknown           |

  Scenario Outline: Graceful shutdown while <change>
    Given 2 entries and 4 agents as separate processes
    When <change> under load
    Then the ledgers of the targets agree with every answer
    And no request was interrupted
    And the callers of each tracked job received "complete"

    Examples:
      | change                                              |
      | an agent and an entry are replaced after each other |
      | a target leaves                                     |

@processes
Feature: Separate processes under kills, freezes and replacement
  What callers are told agrees with the ledgers of the targets, whatever ends or halts a process.

  Scenario Outline: Separate processes while <fault>
    Given 2 entries and 4 agents as separate processes
    When <fault> under load
    Then the ledgers prove what every caller was told
    And of the jobs that are followed "<followed>" was told

    Examples:
      | fault                                         | followed          |
      | an agent is killed that is the home of jobs   | unknown           |
      | an agent is frozen until it is taken for dead | unknown, complete |
      | streams to an agent fall silent for a while   | complete          |
      | an entry is killed while a caller waits       | error, complete   |
      | an agent gets a second signal                 | unknown           |

  Scenario Outline: Graceful shutdown while <change>
    Given 2 entries and 4 agents as separate processes
    When <change> under load
    Then the ledgers prove what every caller was told
    And no request was cut
    And of the jobs that are followed "complete" was told

    Examples:
      | change                                              |
      | an agent and an entry are replaced after each other |
      | a target leaves                                     |

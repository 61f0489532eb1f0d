Feature: Submissions that reach an entry late
  Two bundled entries share two agents. The way of the callers to the second entry holds bytes back for a time.

  Background:
    Given two entries, 2 agents and their workers, whose tasks run for 700 ms

  # Guards against two runs of a task at once: an entry starts what it reads late, while another one runs it.
  Scenario Outline: A submission arrives <when>
    When a caller submits a job on an open channel to the second entry, whose bytes are held up
    And the caller submits the job on a new channel to the first entry
    And the bytes arrive <delay> ms later
    Then no two runs of a task overlap
    And the caller is answered "completed" by the first entry

    Examples:
      | when                                            | delay |
      | after its caller has turned to another entry    | 100   |
      | just before its caller turns to another entry   | -20   |

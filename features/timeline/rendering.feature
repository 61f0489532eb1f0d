Feature: Showing a time line
  A report is rendered as a table, as JSON lines, as a trace or as an HTML page; a job is explained in sentences.

  Scenario Outline: A job is explained
    Given the events of a job that <story>
    Then its explanation says "<text>"

    Examples:
      | story                | text                                                     |
      | was refused          | was refused by e1: rate-limit                            |
      | waited at its home   | The first placement came after 900.0 ms                  |
      | lost its home        | Its home was a1, which became dead                       |
      | lost its home        | 1 tasks have a start and no end, the first on a2         |
      | failed               | task 0 ended "failed" on a2                              |
      | was placed again     | 1 retries (first: queue-full)                            |
      | completed            | answered "complete"                                      |
      | has no events        | No event of this job is recorded                         |

  Scenario: Tasks that ended are not called open
    Given the events of a job that completed
    Then its explanation does not say "no end"

  Scenario: Text from outside is escaped in the page
    Given the events of a job that has a customer named "<script>alert(1)</script>"
    Then the page does not contain "<script>alert"
    And the page refers to no other file

  Scenario: The trace has a process per node, a bar per task and a marker per event
    Given the events of a job that completed
    Then the trace has 3 processes, 1 bars and 4 markers

  Scenario: JSON lines and table have one line per event
    Given the events of a job that completed
    Then the table has 8 lines and the JSON lines 6
    And format "pdf" is refused as unknown

Feature: Odd entries of other writers
  An entry that another writer left in the store, or passed on by another process, names no process or worker to use.
  The others stay usable, and the process goes on reading. No entry may end a process or one of its tasks.

  # Guards against a process that never joins: its write expected that the odd entry under its name did not exist.
  Scenario Outline: A process joins although an odd entry stands under its own name
    Given the directory holds "agent-1" and "agent-2"
    And the key of "entry-1" holds <text>
    When "entry-1" joins the directory
    Then it knows "agent-1" and "agent-2" at their ports
    And the key of "entry-1" holds its address

    Examples:
      | text                         |
      | no JSON                      |
      | a list nested 100000 times   |
      | a port of 0                  |
      | a port of 65536              |
      | a port of 1e10               |
      | a port of 1e400              |
      | an incarnation of 2^53       |
      | an incarnation of -1         |
      | an incarnation of 1.5        |
      | a host that is no IP address |

Feature: Clients outside the limits
  Guards against a process that runs out of memory or descriptors because of clients that it cannot trust.

  The crowds are small, so the processes get little: 48 MB of heap instead of 96, a machine of 160 MB and 400 descriptors
  instead of 218 to 602 MB and 4,096 to 8,192, of which 200 are reserved for files. An idle process takes 52 to 94 MB and
  20 to 29 descriptors. The bounds are those of the machine: 160 MB; and 256 descriptors, which is what the reserve leaves and
  room for those of the idle process. The size is a number of bytes, of chunks, of header lines or of requests, by kind. Without
  a limit, 13 of the 15 crowds exceed a bound or end the process (one of them not in every run); the other two guard what held before.

  Scenario Outline: An entry under <count> clients of kind <kind> at its <port>
    Given an entry with 48 MB of heap, 160 MB of memory and 400 descriptors
    When <count> clients of kind "<kind>" each send <size> to its "<port>"
    Then the process lives
    And it took at most 160 MB and 256 descriptors
    And an ordinary job is answered

    Examples:
      | kind               | port    | count | size    |
      | large-chunks       | callers | 150   | 983040  |
      | one-byte-chunks    | callers | 200   | 3000    |
      | endless-headers    | callers | 400   | 500     |
      | silence            | callers | 400   | 0       |
      | pipelined-requests | callers | 20    | 5000    |
      | unread-answers     | metrics | 20    | 1500    |

  Scenario Outline: An agent under <count> clients of kind <kind> at its <port>
    Given an agent with 48 MB of heap, 160 MB of memory and 400 descriptors
    When <count> clients of kind "<kind>" each send <size> to its "<port>"
    Then the process lives
    And it took at most 160 MB and 256 descriptors
    And an ordinary job is answered

    Examples:
      | kind            | port       | count | size |
      | one-byte-chunks | heartbeats | 200   | 3000 |
      | silence         | heartbeats | 400   | 0    |
      | unread-answers  | metrics    | 20    | 1500 |

  # The interface has no settings of the machine: its memory for requests is set to 32 MB, and its connections to 100.
  Scenario Outline: The product's own HTTP interface under <count> clients of kind <kind> at its <port>
    Given the interface with 48 MB of heap, 33554432 bytes for requests and 100 connections
    When <count> clients of kind "<kind>" each send <size> to its "<port>"
    Then the process lives
    And it took at most 160 MB and 256 descriptors
    And an ordinary job is answered

    Examples:
      | kind               | port    | count | size    |
      | large-chunks       | callers | 150   | 983040  |
      | one-byte-chunks    | callers | 200   | 3000    |
      | endless-headers    | callers | 400   | 500     |
      | silence            | callers | 400   | 0       |
      | pipelined-requests | callers | 20    | 5000    |
      | unread-answers     | metrics | 20    | 1500    |

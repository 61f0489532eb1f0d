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

  # Guards against requests that become objects faster than the connections that sent them are closed: Node.js parses a whole read
  # of 64 KB, some 2,500 of the shortest requests, before anything else runs. One without a host is answered by Node.js itself.
  Scenario Outline: <a role> after <count> clients of kind <kind> at its <port> while it was suspended
    Given <a role> with 48 MB of heap, 160 MB of memory and 400 descriptors
    When <count> clients of kind "<kind>" connect, and each send <size> to its "<port>" while it is suspended
    Then the process lives
    And it took at most 160 MB and 256 descriptors
    And an ordinary job is answered

    Examples:
      | a role   | kind                  | port       | count | size |
      | an entry | shortest-requests     | callers    | 20    | 2400 |
      | an entry | shortest-requests     | callers    | 90    | 2400 |
      | an entry | requests-without-host | callers    | 90    | 3400 |
      | an entry | shortest-requests     | readiness  | 60    | 2400 |
      | an entry | shortest-requests     | peers      | 90    | 2400 |
      | an entry | unread-answers        | metrics    | 8     | 1300 |
      | an agent | shortest-requests     | heartbeats | 20    | 2400 |
      | an agent | requests-without-host | heartbeats | 60    | 3400 |
      | an agent | shortest-requests     | peers      | 90    | 2400 |

  # Guards against clients at the port for other processes, which had no limits.
  Scenario Outline: <a role> under <count> clients of kind <kind> at its port for peers
    Given <a role> with 48 MB of heap, 160 MB of memory and 400 descriptors
    When <count> clients of kind "<kind>" each send <size> to its "peers"
    Then the process lives
    And it took at most 160 MB and 256 descriptors
    And an ordinary job is answered
    And an entry that starts now serves a job

    Examples:
      | a role   | kind               | count | size   |
      | an entry | silence            | 400   | 0      |
      | an entry | endless-headers    | 400   | 500    |
      | an entry | refused-upgrades   | 400   | 0      |
      | an entry | unread-answers     | 60    | 100000 |
      | an agent | silence            | 400   | 0      |
      | an agent | endless-headers    | 400   | 500    |
      | an agent | refused-upgrades   | 400   | 0      |
      | an agent | unread-answers     | 60    | 100000 |

  # Guards against clients at the port of the product's processes for peers, operators, collectors and targets, which had no limits.
  Scenario Outline: A process of the product under <count> clients of kind <kind> at its port for <port>
    Given a process of the product with 48 MB of heap, 33554432 bytes for requests and 100 connections
    When <count> clients of kind "<kind>" each send <size> to its "<port>"
    Then the process lives
    And it took at most 160 MB and 256 descriptors
    And an ordinary job is answered

    Examples:
      | kind             | port    | count | size   |
      | large-chunks     | targets | 150   | 983040 |
      | one-byte-chunks  | targets | 200   | 3000   |
      | endless-headers  | targets | 400   | 500    |
      | silence          | peers   | 400   | 0      |
      | refused-upgrades | peers   | 400   | 0      |
      | unread-answers   | metrics | 20    | 1500   |

  Scenario Outline: <a process> after <count> clients of kind <kind> at its <port> while it was suspended
    Given <a process> with 48 MB of heap, 33554432 bytes for requests and 100 connections
    When <count> clients of kind "<kind>" connect, and each send <size> to its "<port>" while it is suspended
    Then the process lives
    And it took at most 160 MB and 256 descriptors
    And an ordinary job is answered

    Examples:
      | a process                | kind                  | port    | count | size |
      | a process of the product | shortest-requests     | peers   | 90    | 2400 |
      | a process of the product | requests-without-host | peers   | 90    | 3400 |
      | the interface            | shortest-requests     | callers | 20    | 2400 |
      | the interface            | requests-without-host | callers | 90    | 3400 |

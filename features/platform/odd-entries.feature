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
      | the address of "agent-1"     |

  # Guards against a process that never joins: it took the revision of the odd entry for that of its own key.
  Scenario: A process joins although the key of another one names it
    Given the directory holds "agent-1" and "agent-2"
    And the key of "another" holds the address of "entry-1" at port 4444
    When "entry-1" joins the directory
    Then it knows "agent-1" and "agent-2" at their ports
    And the key of "entry-1" holds its address
    And a line "directory-key-ignored" names "another" and "$.address.name"

  # Guards against streams to the wrong address: the last key that named a process won.
  Scenario: A key that names another process does not change its address
    Given the directory holds "agent-1" and "agent-2"
    And the key of "another" holds the address of "agent-1" at port 4444
    When "entry-1" joins the directory
    Then it knows "agent-1" and "agent-2" at their ports

  # Guards against a restarted agent that uses the worker of another entry.
  Scenario: The worker of another key that names this process is not restored
    Given the directory holds "agent-1" with worker "w1" and "agent-2"
    And the key of "aaa" holds the address of "agent-1" with worker "w2"
    When "agent-1" joins the directory
    Then it restores the worker "w1"

  # Guards against a log in which thousands of odd entries displace every other line.
  Scenario: Thousands of odd entries leave the others usable and the log readable
    Given the directory holds "agent-1" and "agent-2"
    And 3000 keys hold a port of 99999
    When "entry-1" joins the directory
    Then it knows "agent-1" and "agent-2" at their ports
    And at most 12 lines are logged
    And a line "directory-keys-ignored" counts 3000

  # Guards against lists that end early, never end or fail because of a single row: the other processes were not read.
  Scenario Outline: Odd rows in a list of keys leave the others
    Given a store whose list has the pages <pages>
    When the keys are listed
    Then the keys are <keys>

    Examples:
      | pages                                | keys             |
      | "a, b" and "c"                       | "a, b, c"        |
      | "no item, no item" and "c"           | "c"              |
      | "a, no item" and "c"                 | "a, c"           |
      | "a, lone surrogate" and "c"          | "a, �, c"   |
      | "a, no key" and "c"                  | "a, c"           |

  # Guards against a process that reads the same page for ever, and keeps all of its rows.
  Scenario Outline: A list that does not advance ends with an error
    Given a store whose list has the page <page> again and again
    When the keys are listed
    Then listing fails with "the list does not advance"

    Examples:
      | page         |
      | "a, b"       |
      | "no item"    |
      | "no key"     |

  # Guards against a process that goes on without its directory, configuration or worker, as an error ended the task.
  Scenario Outline: A task of a process goes on after an unexpected error
    Given a process whose <task> meets an unexpected error once
    When the process goes on for 3000 ms
    Then <result>
    And a line "loop-failed" names "<loop>" and "odd"

    Examples:
      | task                   | result                          | loop          |
      | reading the directory  | it knows the others             | directory     |
      | reading the store      | configuration 8 is in force     | configuration |
      | decoding configuration | configuration 8 is in force     | configuration |
      | renewing the lease     | its lease is still renewed      | worker        |

  # Guards against an agent that stores no heartbeat any more, as an error left the mark of a write under way.
  Scenario: The worker is stored again after a write met an unexpected error
    Given an agent in the directory whose next write meets an unexpected error
    When it stores the worker "w1" and then the worker "w2"
    Then its key holds the worker "w2"

  # Guards against streams that close again and again, or attempts that never count as failed, by an address passed on.
  Scenario Outline: An odd address that another process passes on leaves the others and the stream
    Given an entry with a stream to the entry "b"
    When "b" passes on an address with <odd>, and that of "agent-9"
    Then the entry knows "agent-9", and not the odd one
    And a line "peers-ignored" names "b" and "value"
    And the stream to "b" is open, and no error was left uncaught

    Examples:
      | odd                        |
      | port 0                     |
      | port 65536                 |
      | port 10000000000           |
      | port Infinity              |
      | port -1                    |
      | port "7000"                |
      | host undefined             |
      | host "x y"                 |
      | host "fe80::1%eth0"        |
      | host 7                     |
      | name 7                     |
      | role "third"               |
      | incarnation 1e300          |
      | labels 7                   |
      | labels [7]                 |
      | nothing but null           |
      | nothing but a list of 100000 lists |

  # Guards against an attempt that never counts as failed, so that another process does not take the place in the subset.
  Scenario: An address that names no endpoint counts as unreachable
    Given an entry with a stream to the entry "b"
    When the entry learns an address with host "x y"
    Then a line "stream-not-opened" names "odd" and "unreachable"
    And the stream to "b" is open, and no error was left uncaught

  # Guards against a process that is taken for another one, whose messages then have no stream.
  Scenario: An announcement that names another process than its stream is ignored
    Given an entry with a stream to the entry "b"
    When "b" announces itself as "c"
    Then the entry is not connected to "c"
    And a line "announcement-ignored" names "b" and "c"
    And the stream to "b" is open, and no error was left uncaught

  # Guards against runs that can't be stopped, ends acknowledged unseen, and leases that end at no time.
  Scenario Outline: Odd rows in a worker's lists leave the others
    Given a worker that answers with born <born>, clock <clock>, runs <running> and ends <ended>
    When its lease is renewed
    Then it has the runs "<runs>", the ends "<ends>" and the start time <start>
    And the first fault names "<fault>"

    Examples:
      | born  | clock | running                           | ended                                       | runs    | ends    | start | fault                  |
      | 5     | 7     | ["a",1,"",5]                      | [1,"b",1,"done",""]                         | a 1 5   | 1 b 1   | 5     |                        |
      | 5     | 7     | ["x",1e400,"",5],["a",1,"",5]     | [1,"b",1,"done",""]                         | a 1 5   | 1 b 1   | 5     | Running                |
      | 5     | 7     | ["x",-1,"",5],["a",1,"",5]        | [1,"b",1,"done",""]                         | a 1 5   | 1 b 1   | 5     | Running                |
      | 5     | 7     | ["x",1.5,"",5],["a",1,"",5]       | [1,"b",1,"done",""]                         | a 1 5   | 1 b 1   | 5     | Running                |
      | 5     | 7     | ["x",9007199254740992,"",5],["a",1,"",5] | [1,"b",1,"done",""]                  | a 1 5   | 1 b 1   | 5     | Running                |
      | 5     | 7     | NESTED,["a",1,"",5]               | [1,"b",1,"done",""]                         | a 1 5   | 1 b 1   | 5     | Running                |
      | 5     | 7     | ["a",1,"",1e400]                  | [1,"b",1,"done",""]                         | a 1 0   | 1 b 1   | 5     |                        |
      | 5     | 7     | ["a",1,"",-5]                     | [1,"b",1,"done",""]                         | a 1 0   | 1 b 1   | 5     |                        |
      | 5     | 7     | ["a",1,"",150]                    | [1,"b",1,"done",""]                         | a 1 0   | 1 b 1   | 5     |                        |
      | 5     | 7     | ["a",1,"",5]                      | [1e400,"x",1,"done",""],[1,"b",1,"done",""] | a 1 5   | 1 b 1   | 5     | Finished               |
      | 5     | 7     | ["a",1,"",5]                      | [1152921504606846976,"x",1,"done",""],[1,"b",1,"done",""] | a 1 5 | 1 b 1 | 5 | Finished          |
      | 5     | 7     | ["a",1,"",5]                      | [1.5,"x",1,"done",""],[1,"b",1,"done",""]   | a 1 5   | 1 b 1   | 5     | Finished               |
      | 5     | 7     | ["a",1,"",5]                      | [1,"b",1,"done",""],[2,"x",1e400,"done",""] | a 1 5   | 1 b 1   | 5     | Finished               |
      | 5     | 7     | ["a",1,"",5]                      | [1,"b",1,"done",""],[2,"x",1,"asleep",""]   | a 1 5   | 1 b 1   | 5     | Finished               |
      | 5     | 7     | ["a",1,"",5]                      | [2,"c",1,"done",""],[1,"b",1,"done",""]     | a 1 5   | 1 b 1, 2 c 1 | 5 |                       |
      | 1e400 | 7     | ["a",1,"",5]                      | [1,"b",1,"done",""]                         | a 1 5   | 1 b 1   | undefined | born               |
      | 1.5   | 7     | ["a",1,"",5]                      | [1,"b",1,"done",""]                         | a 1 5   | 1 b 1   | undefined | born               |

  # Guards against a lease whose end is no number, which the worker reads as no lease at all.
  Scenario Outline: A worker's answer whose clock is no time is no answer
    Given a worker that answers with born 5, clock <clock>, runs ["a",1,"",5] and ends [1,"b",1,"done",""]
    When its lease is renewed
    Then the renewal fails as "invalid"

    Examples:
      | clock |
      | 1e400 |
      | -5    |
      | "7"   |
      | 1e300 |

  # Guards against an agent that calls its worker without a pause while a row that it leaves out is listed.
  Scenario: A row that is left out again and again does not make an agent call without a pause
    Given an agent whose worker answers at once with an end that can't be acknowledged
    When the process goes on for 1000 ms
    Then its lease is still renewed
    And at most 100 renewals were sent

  # Guards against an agent that stores no heartbeat any more after another writer has changed its key.
  Scenario: An agent stores its worker although another writer has changed its key
    Given an agent that has joined the directory
    And the key of "agent-1" holds no JSON
    When it stores the worker "w1" and then the worker "w2"
    Then its key holds the worker "w2"

  # Guards against a process that takes the key back from the one that replaced it.
  Scenario: An agent leaves its key to a later process of its name
    Given an agent that has joined the directory
    And the key of "agent-1" holds the worker "w9" of a later process
    When it stores the worker "w1" and then the worker "w2"
    Then its key holds the worker "w9"

  # Guards against processes that end, never join or stop following, started as on the platform.
  Scenario: Bundled processes serve and follow although odd entries stand among theirs
    Given an entry and 2 agents that start beside odd entries, some of them under their names
    When a job of 6 tasks is submitted
    Then it is answered 200 "completed"
    And every process still runs
    When lists nested 100000 times and then version 9 without the route are written as the configuration
    Then the route is removed within 2000 ms
    And every process still runs

  # Guards against an end of the watch by a configuration that can't be read; the former one stays in force.
  Scenario Outline: A configuration that can't be read changes nothing
    Given a process whose store holds <text> as the configuration and then version 8
    When the process goes on for 3000 ms
    Then configuration 8 is in force
    And a line "configuration-ignored" names "store" and "<fault>"

    Examples:
      | text                      | fault   |
      | lists nested 100000 times | object  |
      | deep routes               | Routes  |
      | a version of 1e400        | Version |
      | a version of 2^53         | Version |
      | a version of -1           | Version |
      | a version of 7.5          | Version |
      | no JSON                   | JSON    |

  # Guards against streams that close again and again, as what is passed on does not fit into a frame.
  Scenario Outline: Addresses with large or many labels are passed on without closing the stream
    Given an entry with a stream to the entry "b"
    When the entry learns <count> addresses with <labels> labels of <length> letters
    Then "b" receives <count> addresses
    And the stream to "b" is open, and no error was left uncaught

    Examples:
      | count | labels | length |
      | 100   | 1      | 60000  |
      | 500   | 50     | 200    |
      | 3000  | 10     | 200    |

  # Guards against a process that is taken for lost while it tries thousands of dead addresses at once.
  Scenario: Attempts to open streams to thousands of addresses are spread out
    Given an entry that knows 3000 agents that can't be reached
    When it takes the due addresses every 100 ms for 20 s
    Then it takes at most 32 at a time, and each of them at least once

  # Guards against an order of agents that is none, as one worker told a capacity of 0 and its score is no number.
  Scenario: A worker that tells no processors comes last, and leaves the order of the others
    Given agents with 1000, 0 and 2000 thousandths of a core, the first one with 100 free
    When they are ranked for a task that needs no processor
    Then their order is "2000, 1000, 0"

  # Guards against an entry that runs out of memory by one request, which its caller then sends to the next one.
  Scenario Outline: A job of far too many tasks is refused before its tasks are made
    Given an entry and 2 agents that start beside odd entries, some of them under their names
    When a job of <count> tasks is submitted
    Then it is answered 503 for "too-large"
    And every process still runs

    Examples:
      | count            |
      | 100000000        |
      | 4294967295       |
      | 9007199254740991 |

  # Guards against processes that run out of memory, again at each start, by entries with large values.
  Scenario Outline: Processes start beside many entries with large values
    Given an entry and one agent that start beside 2000 entries with <content> of 60000 letters
    When a job of 6 tasks is submitted
    Then it is answered 200 "completed"
    And every process still runs

    Examples:
      | content    |
      | an address |
      | a label    |

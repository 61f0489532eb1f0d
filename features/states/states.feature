Feature: Every order of events of one task
  Two entries and two agents with one worker each serve a job of one task, whose caller may submit it a second time. Every
  order of deliveries, timeouts and losses within a number of events is played on the logic of the processes.

  Scenario Outline: No order of events breaks a promise, with <faults>
    When every order of <depth> events with the faults "<faults>" is played
    Then no promise is broken in any of at least <states> states

    Examples:
      | faults                 | depth | states |
      | none                   | 30    | 100    |
      | told-break             | 16    | 300    |
      | cut                    | 10    | 1000   |
      | one-way-cut            | 10    | 1000   |
      | reset                  | 14    | 1000   |
      | restart                | 15    | 1200   |
      | told-break,cut         | 8     | 1000   |
      | told-break,reset       | 9     | 1000   |
      | told-break,restart     | 9     | 1000   |
      | cut,restart            | 7     | 2000   |

  # Guards against two entries that serve one job after the channel of its caller broke without the first one's knowledge.
  Scenario Outline: A broken channel that its entry learns of late or never, in every order of events, with <faults>
    When every order of <depth> events with the faults "<faults>" is played
    Then no promise is broken in any of at least <states> states

    Examples:
      | faults               | depth | states |
      | untold-break         | 15    | 1000   |
      | untold-break,cut     | 8     | 1000   |
      | untold-break,reset   | 9     | 1000   |
      | untold-break,restart | 9     | 1000   |

  # Guards against an entry whose announcements don't arrive while it hears the other one, and serves on.
  Scenario: A broken channel while announcements arrive one way only, in every order of events
    When every order of 11 events with the faults "untold-break,one-way-cut" is played
    Then no promise is broken in any of at least 1000 states

  Scenario: Without announcements between entries, such a channel breaks a promise
    Given the time limit "announceMs" is 100000 ms
    When every order of 9 events with the faults "untold-break" is played
    Then the promise "twice" is broken with "untold-break"

  Scenario Outline: A time limit that is too short is found
    Given the time limit "<limit>" is <ms> ms
    When every order of <depth> events with the faults "<faults>" is played
    Then the promise "<promise>" is broken with "<faults>"

    Examples:
      | limit  | ms  | faults | depth | promise |
      | goneMs | 100 | reset  | 9     | twice   |
      | goneMs | 100 | cut    | 10    | twice   |

  Scenario Outline: The promise <promise> is checked
    Given the task has <runs> runs, <starts> starts of the first entry and is done "<done>"
    And the first entry has answered "<outcome>"
    Then the state breaks the promise "<broken>"

    Examples:
      | promise   | runs | starts | done | outcome   | broken    |
      | twice     | 2    | 1      | no   | given-up  | twice     |
      | twice     | 1    | 1      | no   | given-up  | none      |
      | completed | 0    | 1      | no   | completed | completed |
      | completed | 0    | 1      | yes  | completed | none      |
      | not-run   | 0    | 1      | no   | not-run   | not-run   |
      | not-run   | 0    | 0      | no   | not-run   | none      |

  Scenario: A sequence of events is described
    Given the time limit "goneMs" is 100 ms
    When every order of 9 events with the faults "reset" is played
    Then the description of the first sequence ends with two runs

  Scenario Outline: Options that are refused
    When the check is started with "<options>"
    Then the options of the check are refused with a message that contains "<text>"

    Examples:
      | options          | text                                |
      | --depth 0        | a whole number from 1 to 1000       |
      | --faults storm   | one of none, told-break             |
      | --delay 201      | a whole number from 0 to 200        |
      | --minutes 0      | a number above 0 and at most 1440   |
      | --width 3        | --width                             |

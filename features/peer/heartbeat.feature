Feature: Heartbeats of streams
  Each side of a one-way stream sends a heartbeat only after an interval without frames. Simulated time, no sockets.

  Background:
    Given one-way streams with the time limits of a resubmission after 1300 ms

  Scenario: An idle stream costs at most six heartbeats a second
    When a stream is idle for 10000 ms
    Then it has sent at most 60 heartbeats
    And no gap between two of its heartbeats exceeds half of the contact time

  Scenario: A busy stream sends no heartbeats
    When a stream sends a frame every 80 ms for 10000 ms
    Then it has sent at most 0 heartbeats

  Scenario Outline: A silent process is noticed within the contact time
    When the other side falls silent <after> ms after a check
    Then the stream is closed within the contact time, and not before 300 ms of silence

    Examples:
      | after |
      | 1     |
      | 40    |
      | 85    |

  Scenario: A heartbeat that is sent again by the network does not close the stream
    When one heartbeat of the other side arrives 210 ms late
    Then the stream stays open

  Scenario Outline: Data that arrives after a pause of this process is acted on only while the other side still counts it as alive
    When a stream has received nothing for <silence> ms, then data arrives
    Then the data is <decision>

    Examples:
      | silence | decision |
      | 300     | accepted |
      | 546     | refused  |
      | 2000    | refused  |

  Scenario: A stream on which no task depends costs less than half of the heartbeats
    When a stream is quiet for 10000 ms
    Then it has sent at most 25 heartbeats
    And no gap between two of its heartbeats exceeds the time without data after which it is closed

  Scenario Outline: A stream that is not quiet any more sends at once what was spared
    When a stream is quiet for 3000 ms, and a task is offered on it <after> ms later
    Then its next heartbeat follows within 100 ms

    Examples:
      | after |
      | 200   |
      | 350   |
      | 440   |

  Scenario Outline: A silent process is noticed on a quiet stream
    When a stream gets a quiet heartbeat, <sends>, and then no data
    Then the stream is closed after more than <least> and at most <most> ms of silence

    Examples:
      | sends                             | least | most |
      | sends nothing                     | 800   | 1150 |
      | sends its load                    | 800   | 1150 |
      | offers a task 100 ms later        | 500   | 700  |
      | offers a task 900 ms later        | 900   | 1150 |

Feature: Replay files
  A failure is kept in a file from which it can be played again.

  Scenario: A replay file gives back the play
    When the play of seed 3 is written to a replay file and read again
    Then the read play is the same
    And the cause in the file is empty

  Scenario Outline: Refused replay files
    When a replay file with the text <text> is read
    Then it is refused with a message that contains <message>

    Examples:
      | text            | message        |
      | "{"             | "is not JSON"  |
      | '{"seed": "x"}' | "is not valid" |

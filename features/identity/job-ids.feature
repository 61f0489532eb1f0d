Feature: Job ids
  A job id encodes its home and time of minting, and is valid for one customer only.

  Scenario: An id gives back its parts
    Given an id minted for customer "hill-country" with home "agent-3" and incarnation 17
    Then customer "hill-country" reads home "agent-3" and incarnation 17 from it

  Scenario Outline: An id that was not minted for the customer is refused
    Given an id minted for customer "hill-country" with home "agent-3" and incarnation 17
    When <change>
    Then customer "<customer>" is refused the id as "<kind>"

    Examples:
      | change                          | customer     | kind      |
      | nothing is done to it           | scarita      | forged    |
      | one character of it is replaced | hill-country | forged    |
      | its home is replaced            | hill-country | forged    |
      | it is cut to 9 characters       | hill-country | malformed |
      | it is replaced by "../../etc"   | hill-country | malformed |

Feature: Routes
  Only a newer configuration replaces the current one; the longest path prefix on the host determines the route.

  Scenario Outline: What becomes of an offered configuration
    Given the configuration of version 7 is in force
    When version <version> is offered
    Then it is <move>, and version <now> is in force

    Examples:
      | version | move    | now |
      | 9       | applied | 9   |
      | 7       | same    | 7   |
      | 3       | older   | 7   |

  Scenario Outline: The route of a request
    Given routes "h1 /a/ one" and "h1 /a/b/ two" and "h2 /a/ three"
    Then a request for "<path>" at "<host>" belongs to "<route>"

    Examples:
      | host    | path    | route |
      | h1      | /a/x    | one   |
      | h1      | /a/b/x  | two   |
      | H1:8080 | /a/b    | one   |
      | h2      | /a/b/x  | three |
      | h2      | /c/     | none  |
      | h3      | /a/     | none  |

  Scenario Outline: Time limits follow from the bounds
    Given bounds with a resubmission after <resubmit> ms, leases up to <lease> ms and stops within <stop> ms
    Then the loss of an entry and its agent leaves no run after <resubmit> ms
    And an agent that is lost for its entry has no run left when its tasks are placed again

    Examples:
      | resubmit | lease | stop |
      | 1300     | 1000  | 50   |
      | 800      | 1000  | 50   |
      | 3000     | 500   | 100  |
      | 10000    | 2000  | 200  |

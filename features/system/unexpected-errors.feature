Feature: Errors that nothing caught
  A process logs them and lives on.

  Scenario Outline: An error <where> is logged, and the process goes on
    When a process throws "boom" <where>
    Then it logs "boom" with the origin "<origin>"
    And it ends by itself with exit code 0 after its work

    Examples:
      | where      | origin             |
      | in a timer | uncaughtException  |
      | in a task  | unhandledRejection |

  Scenario: A process that cannot start ends with an error
    Given a process listens on a port
    When an agent is started whose stream port is taken
    Then it ends with exit code 1 and says that the port is taken

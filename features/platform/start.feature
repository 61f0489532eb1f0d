Feature: Start of the processes on the platform
  A restarted process serves again within a fraction of a second, so it must not compile its code first.

  Scenario Outline: A process starts from the code cache of its bundle
    When the command of role "<role>" in the deploy file is run with a settings file that is missing
    Then it ends with an error that names the settings file
    And the code cache was used

    Examples:
      | role  |
      | entry |
      | agent |

  # Guards against a process that ends because its settings file changes while it starts.
  Scenario Outline: A process that is told of changed settings while it starts
    When the command of role "<role>" in the deploy file receives SIGHUP while it reads its settings
    Then it goes on to read them

    Examples:
      | role  |
      | entry |
      | agent |

Feature: Ports of the processes under test
  Test runs on one machine never use the same ports.

  Scenario: Ports are handed out once, also to other processes
    When this process and two others take 50 ports each
    Then all 150 ports are different

Feature: Peaks at a weak entry
  A simulated entry with 0.324 of a core, whose jobs take 5 ms of it each, can handle 65 jobs per second. Callers wait for 1,500 ms.

  # Guards against refusals by an entry that is merely busy.
  Scenario Outline: Load that the entry can handle
    When a load of <jobs> jobs per second lasts for 20 s
    Then in phase 1 nothing is refused
    And in phase 1 at least 99 percent of the jobs taken are answered in time

    Examples:
      | jobs |
      | 10   |
      | 45   |
      | 60   |

  # Guards against callers that are held until their deadline, and against refusals that leave the processor unused.
  Scenario Outline: A peak of some seconds
    When a load of 40 jobs per second lasts for 10 s, then one of <peak> for 4 s, then one of 40 for 10 s
    Then in phase 1 nothing is refused
    And in phase 2 at least <inTime> percent of the jobs taken are answered in time
    And in phase 2 at least <served> jobs are answered in time
    And in phase 3 at most 40 jobs are refused
    And in phase 3 at least 99 percent of the jobs taken are answered in time

    Examples:
      | peak | inTime | served |
      | 90   | 95     | 200    |
      | 130  | 95     | 180    |
      | 200  | 95     | 150    |

  # Guards against a decision that protects only while the load rises.
  Scenario: Overload that lasts
    When a load of 130 jobs per second lasts for 30 s
    Then in phase 1 at least 95 percent of the jobs taken are answered in time
    And in phase 1 at least 1300 jobs are answered in time

  Scenario: The same overload without refusals
    When a load of 130 jobs per second lasts for 30 s at an entry that refuses nothing
    Then in phase 1 at most 500 jobs are answered in time

Feature: One watch for the configuration and the closings
  Where operators close data centres, an entry watches the prefix of both in place of the key of the configuration.

  # Guards against calls beyond the limits of the store: a second watch for the closings would double them.
  Scenario: The closings cost no further call
    Given an entry with a time of 5000 ms for closings, and a store with the configuration
    When 60 s go by at the store
    Then the entry has version 7 in force
    And the store was called for prefixes only, once at a time, at most 120 times

  # Guards against other calls on deployments that close no data centres.
  Scenario: Without a time for closings the calls are for the key of the configuration
    Given an entry without a time for closings, and a store with the configuration
    When "op/evacuate/west" is written
    And 60 s go by at the store
    Then the entry has version 7 in force
    And the entry knows 0 closed data centres
    And the store was called for keys only, once at a time, at most 120 times

  # Guards against a closing that takes effect with the next poll, and a data centre that stays closed.
  Scenario: A closing and its end take effect at once
    Given an entry with a time of 5000 ms for closings, and a store with the configuration
    When "op/evacuate/west" is written
    And 10 ms go by at the store
    Then the entry knows 1 closed data centres
    When "op/evacuate/east" is written
    And "op/evacuate/west" is deleted
    And 10 ms go by at the store
    Then the entry knows 1 closed data centres
    When "op/evacuate/west" is written
    And "op/evacuate/west" is deleted
    And "op/evacuate/west" is written
    And 10 ms go by at the store
    Then the entry knows 2 closed data centres

  # Guards against a closing that never ends, as its deletion is no longer in the history of the store.
  Scenario: A deletion that the history does not hold any more is noticed by reading again
    Given an entry with a time of 5000 ms for closings, and a store with the configuration
    When "op/evacuate/west" is written
    And 10 ms go by at the store
    And the store refuses all calls
    And "op/evacuate/west" is deleted
    And the store forgets its history
    And 2000 ms go by at the store
    Then the entry knows 1 closed data centres
    When the store answers again
    And 1000 ms go by at the store
    Then the entry knows 0 closed data centres

  # Guards against a start in a closed data centre while the store is down: an entry forgot what it knew.
  Scenario: An entry goes on with the closings that it knows while the store refuses all calls
    Given an entry with a time of 5000 ms for closings, and a store with the configuration
    When "op/evacuate/west" is written
    And 10 ms go by at the store
    And the store refuses all calls
    And 30 s go by at the store
    Then the entry knows 1 closed data centres

  # Guards against a configuration that is lost, or a closing, by other keys under the prefix.
  Scenario: Other keys under the prefix change nothing
    Given an entry with a time of 5000 ms for closings, and a store with the configuration
    When "op/evacuate/" is written
    And "op/evacuation" is written
    And "op/config" is deleted
    And 10 ms go by at the store
    Then the entry knows 0 closed data centres
    And the entry has version 7 in force

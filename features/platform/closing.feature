Feature: Closing a data centre
  Operators close a data centre by writing a key in the store, and reopen it by deleting the key.

  # Guards against starts in a closed data centre, runs that are stopped there, and workers that stay unused after it.
  Scenario: Tasks go elsewhere while a data centre is closed, and return when it is reopened
    Given an entry with a time of 5000 ms for closings, and an agent in each of the data centres "dc west"
    When tasks have started in both data centres
    And data centre "west" is closed
    Then the entry and both agents know it within 2000 ms
    When jobs are submitted for 1500 ms
    Then all of them are answered 200
    And nothing has started in "west" since, and what ran there has ended "done"
    When data centre "west" is reopened
    And jobs are submitted until one has started in "west"
    Then the entry and both agents know no closed data centre

  # Guards against callers that wait for workers in data centres that are all closed.
  Scenario: A job is refused at once while all data centres are closed
    Given an entry with a time of 5000 ms for closings, and an agent in each of the data centres "dc west"
    When data centre "west" is closed
    And data centre "dc" is closed
    Then the entry and both agents know them within 2000 ms
    And a job is answered 503

  # Guards against a store client that misses the deletion of a key, or the items of a list.
  Scenario: The client of the store reads and watches the keys with a prefix
    Given a store with the keys "op/config op/evacuate/west other"
    When the keys with the prefix "op/" are read
    Then the answer is complete and holds "op/config+ op/evacuate/west+"
    When "op/evacuate/west" is removed and "op/evacuate/east" and "other2" are written to the store
    And the keys with the prefix "op/" are watched from that answer on
    Then the answer holds the changes "op/evacuate/west- op/evacuate/east+"
    When the keys with the prefix "op/" are watched from that answer on
    Then the answer holds the changes ""
    When the store drops its history
    And the keys with the prefix "op/" are watched from the first answer on
    Then the answer is complete and holds "op/config+ op/evacuate/east+"

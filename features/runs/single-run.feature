Feature: One run of a task at a time
  An entry starts a task elsewhere once its agent must have ended the earlier run. So an agent reports no run as lost that
  may be active, and extends no lease under which a run outlives that time.

  Background:
    Given an agent whose worker has 10000 thousandths of a core

  # Guards against a run that outlives its entry's loss, as its stop gets no answer and renewals for other runs extend its lease.
  Scenario Outline: The lease is not extended while <event> and the stop is not acknowledged
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    Then a renewal extends the lease
    When <event>
    Then the worker is ordered to stop "a"
    And a renewal extends the lease
    When 70 ms go by
    And the stop of "a" is answered "unanswered"
    Then a renewal does not extend the lease
    When entry "e2" offers direct tasks "b" of 1000
    Then the worker is not ordered to start "b"
    When the stop of "a" is answered "stopped"
    Then a renewal extends the lease

    Examples:
      | event                                                     |
      | entry "e1" withdraws "a"                                  |
      | entry "e2" offers direct tasks "a" of 4000                |
      | the stream to entry "e1" has been closed for 200 ms       |

  # Guards against a second run while the first one lives on under renewals whose answers are lost.
  Scenario: A run counts as lost only after the lease of the last unanswered renewal
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And renewals are sent every 70 ms for 2000 ms without an answer
    Then entry "e1" gets the report that "a" ended as "lost"
    And the last renewal that extended the lease was sent at least 545 ms before that report

  # Guards against a second run while a restarted agent takes a run under a raised number for another one.
  Scenario: A restarted agent adopts a run under a higher number than the entry knows
    Given an agent that restarted while its worker runs "a" as run 17
    When entry "e1" claims "a"
    Then entry "e1" gets no report on "a"
    When the worker lists run 17 of "a" as ended "done"
    Then entry "e1" gets the report that "a" ended as "done"

  # Guards against a second run beside one of an earlier number that the worker has not stopped yet.
  Scenario: A claimed task waits at a restarted agent until a run of an earlier number has ended
    Given an agent that restarted while its worker runs "a" as run 1
    When entry "e1" claims run 2 of "a"
    Then entry "e1" gets no report on "a"
    And the worker is ordered to stop "a"
    When 10 ms pass and a snapshot shows no runs
    Then the worker is ordered to start "a" as run 2

  # Guards against "has not run" for a run that an earlier process of the agent may have started.
  Scenario: A claimed task that waited behind an earlier run is given back
    Given an agent that restarted while its worker runs "a" and has listed "b" as "done"
    When entry "e1" claims run 2 of "a"
    And the worker announces that it drains
    Then entry "e1" gets the report that "a" ended as "lost"

  # Guards against "has not run" for a task that is done, as another entry's order of the same number did not start.
  Scenario: The end of a run outlasts an order of another entry that did not start
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And the stream to entry "e1" closes
    And the worker lists "a" as ended "done"
    And the reports so far get lost
    And entry "e2" offers direct tasks "b" of 10000
    And entry "e2" offers direct tasks "a" of 4000
    Then entry "e2" gets the report that "a" ended as "not-started"
    When entry "e1" claims run 1 of "a"
    Then entry "e1" gets the report that "a" ended as "done"

  # Guards against the same at an agent that has restarted, so that it has no record of the run.
  Scenario: Another entry's order that did not start tells a restarted agent nothing of an earlier run
    Given an agent that restarted while its worker runs "b" and has listed "c" as "done"
    When entry "e2" claims run 1 of "b"
    And entry "e2" offers direct tasks "a" of 9500
    Then entry "e2" gets the report that "a" ended as "not-started"
    When entry "e1" claims run 1 of "a"
    Then entry "e1" gets the report that "a" ended as "lost"

  # Guards against a second run while a worker that has announced its shutdown is still ending its runs.
  Scenario: A departure ends no run before its lease has lapsed
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And the worker announces its departure
    Then entry "e1" gets no report on "a"
    And the agent accepts no tasks
    When a renewal finds the worker unreachable
    Then entry "e1" gets no report on "a"
    When 700 ms go by
    Then entry "e1" gets the report that "a" ended as "lost"

  # Guards against a second run while the first one goes on at a worker whose connections are refused.
  Scenario: A refused connection ends no run before its lease has lapsed
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And a renewal finds the worker unreachable
    Then the agent accepts no tasks
    And a renewal does not extend the lease
    When 400 ms go by
    Then entry "e1" gets no report on "a"
    When 300 ms go by
    Then entry "e1" gets the report that "a" ended as "crashed"

  # Guards against giving up a run whose worker was only out of reach for a moment.
  Scenario: A run goes on if its worker answers again before the lease has lapsed
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And a renewal finds the worker unreachable
    And 100 ms pass and a snapshot shows "a" at 10 percent
    And 700 ms go by
    Then entry "e1" gets no report on "a"

  # Guards against waiting for leases of a worker process that has been replaced.
  Scenario: A restart ends the runs of a worker that refused connections at once
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And a renewal finds the worker unreachable
    And a snapshot shows a restart of the worker
    Then entry "e1" gets the report that "a" ended as "crashed"

  # Guards against a delay of what is certain by a renewal of which no byte was sent.
  Scenario: A refused renewal does not extend the time after which the leases have lapsed
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And 300 ms go by
    And a renewal that would extend the lease is refused
    And 350 ms go by
    Then entry "e1" gets the report that "a" ended as "crashed"

  # Guards against a task that starts again by itself after its entry has withdrawn it, beside its run elsewhere.
  Scenario Outline: A start without an answer is not repeated after <event>
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "unanswered"
    And 200 ms pass and a snapshot shows no runs
    Then the worker is ordered to stop "a"
    When <event>
    And the stop of "a" is answered "stopped"
    And 10 ms pass and a snapshot shows no runs
    Then the worker is ordered to start "a" 1 time
    And entry "e1" gets the report that "a" ended as "not-started"

    Examples:
      | event                                               |
      | entry "e1" withdraws "a"                            |
      | the stream to entry "e1" has been closed for 200 ms |

  # Guards against "has not run" for a run that the worker has confirmed, and of whose end it has no record.
  Scenario: A run that the worker has confirmed is lost if its end is not listed after a stop
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And entry "e1" withdraws "a"
    And the stop of "a" is answered "stopped"
    And 10 ms pass and a snapshot shows no runs
    Then entry "e1" gets the report that "a" ended as "lost"

  # Guards against an order that is carried out seconds late, after its task has been started elsewhere.
  Scenario Outline: After <call> without an answer every order carries a higher token
    When entry "e1" offers direct tasks "a" of 4000
    And <call> ends without an answer
    Then the next renewal carries a higher token than that call
    When an order with the token of that call is answered "fenced"
    Then the next renewal carries the same token as before

    Examples:
      | call                |
      | a renewal           |
      | the start of "a"    |

  # Guards against a run of a lost entry that each of several restarted agents keeps alive for some time.
  Scenario: The lease is not extended while runs of an earlier life are not claimed
    Given an agent that restarted while its worker runs "a" as run 1
    Then a renewal does not extend the lease
    When entry "e1" claims "a"
    Then a renewal extends the lease

  # Guards against runs that lapse beside one that no entry claims, as its job has been answered meanwhile.
  Scenario: A run of an earlier life that is not claimed is stopped while the lease of the others lasts
    Given an agent that restarted while its worker runs "a" as run 1
    When 100 ms go by
    Then the worker is ordered to stop nothing
    When 100 ms go by
    Then the worker is ordered to stop "a"
    When 10 ms pass and a snapshot shows no runs
    Then a renewal extends the lease

  # Guards against losing the time in which entries can claim runs to a first call that waits for an end.
  Scenario: The first call of an agent does not wait for an end
    Given an agent that has not heard of its worker yet
    Then the next renewal waits at most 0 ms

  # Guards against a late start that nothing bars, after the silence of its worker was taken for the end of its runs.
  Scenario: A start without an answer is not reported as lost while its worker is silent
    When entry "e1" offers direct tasks "a b" of 4000
    And the start of "a" is answered "started"
    And the start of "b" is answered "unanswered"
    And renewals are sent every 70 ms for 2000 ms without an answer
    Then entry "e1" gets the report that "a" ended as "lost"
    And entry "e1" gets no report on "b"
    When 10 ms pass and a snapshot shows no runs
    And the stop of "b" is answered "stopped"
    And 10 ms pass and a snapshot shows no runs
    Then entry "e1" is told the end of "b", or the worker is ordered to start it again

  # Guards against a run that outlives its withdrawal: the earlier reason of its stop let renewals extend the lease.
  Scenario: The lease is not extended for a stalled run that was withdrawn while its stop is not acknowledged
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And 100 ms pass and a snapshot shows "a" at 10 percent
    And 250 ms pass and a snapshot shows "a" at 10 percent
    Then the worker is ordered to stop "a"
    When entry "e1" withdraws "a"
    And 70 ms go by
    And the stop of "a" is answered "unanswered"
    Then a renewal does not extend the lease

  # Guards against a second run beside one that a worker's new process started before its agent knew of that process.
  Scenario: A run that the next worker process lists goes on
    When entry "e1" offers direct tasks "a b" of 4000
    And the start of "a" is answered "started"
    And the start of "b" is answered "started"
    And the first list of the next worker process shows "b"
    Then entry "e1" gets the report that "a" ended as "crashed"
    And entry "e1" gets no report on "b"
    And the worker is ordered to stop nothing

  # Guards against a second run while the start was answered too late for the list of the next worker process.
  Scenario Outline: A start that is answered after the list of the next worker process was requested is decided by a later list
    When entry "e1" offers direct tasks "a" of 4000
    And a list is requested 5 ms before the start of "a" is answered "started"
    And that list is of the next worker process and shows no runs
    Then entry "e1" gets no report on "a"
    When a later list of that process shows <runs>
    Then <outcome>

    Examples:
      | runs    | outcome                                                 |
      | "a"     | entry "e1" gets no report on "a"                        |
      | no runs | entry "e1" gets the report that "a" ended as "crashed"  |

  # Guards against a late start at a worker's new process, after its task was given back as lost with the earlier process.
  Scenario: A start without an answer is barred at the next worker process before it is reported
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "unanswered"
    And the first list of the next worker process shows no runs
    Then entry "e1" gets no report on "a"
    When 100 ms go by
    And a later list of that process shows no runs
    Then the worker is ordered to stop "a"
    And entry "e1" gets no report on "a"
    When the stop of "a" is answered "stopped"
    And 10 ms go by
    And a later list of that process shows no runs
    Then entry "e1" gets the report that "a" ended as "crashed"

  # Guards against a second run beside one whose order the next worker process has carried out late.
  Scenario: A run is not reported as lost while the next worker process has an earlier run of its task
    When entry "e1" offers direct tasks "a" of 4000 as run 2
    And the start of "a" is answered "started"
    And the first list of the next worker process shows "a"
    Then entry "e1" gets no report on "a"
    When 10 ms go by
    Then the worker is ordered to stop "a"
    When a later list of that process shows no runs
    Then entry "e1" gets the report that "a" ended as "crashed"

  # Guards against a withdrawn run that goes on, as its stop was acknowledged by the process before the one that has it.
  Scenario: A stop that the earlier process acknowledged is sent again to the next one that lists the run
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "unanswered"
    And entry "e1" withdraws "a"
    And the stop of "a" is answered "stopped"
    And the first list of the next worker process shows "a"
    And 200 ms go by
    Then the worker is ordered to stop "a" 2 times at least

  # Guards against the same where the acknowledgement of the earlier process comes after the list of the next one.
  Scenario: A stop is sent again if the run is still listed after the time for it
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And entry "e1" withdraws "a"
    And the stop of "a" is answered "stopped"
    And 200 ms pass and a snapshot shows "a" at 10 percent
    And 200 ms go by
    Then the worker is ordered to stop "a" 2 times at least

  # Guards against a second run beside an earlier one that a list which was overtaken does not show.
  Scenario: An older list of the same process does not end what is known of an earlier run
    When entry "e1" offers direct tasks "a" of 4000 as run 2
    And the start of "a" is answered "started"
    And the first list of the next worker process shows "a"
    And an older list of that process shows no runs
    Then entry "e1" gets no report on "a"

  # Guards against blaming a crash on a run that the next worker process has started.
  Scenario: A run that the next worker process lists is not blamed for the end of the earlier one
    When entry "e1" offers direct tasks "a b" of 4000
    And the start of "a" is answered "started"
    And 200 ms pass and a snapshot shows "a" at 10 percent
    And the start of "b" is answered "started"
    And the first list of the next worker process shows "b"
    Then no run is blamed for a crash

  # Guards against runs that are given up as lost with a worker process that is not the present one.
  Scenario: A list of the earlier worker process that arrives after one of the next changes nothing
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And a list of the present worker process is requested
    And the first list of the next worker process shows "a"
    And the list that was requested arrives
    Then entry "e1" gets no report on "a"
    And the worker is ordered to stop nothing

  # Guards against a second run: a suspended agent started an offer from before the suspension, which its clock did not count.
  Scenario: A start that was refused as late is confirmed by its entry before it is repeated
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "late"
    And 10 ms pass and a snapshot shows no runs
    Then the worker is ordered to start "a" 1 time
    And entry "e1" is now asked about "a"
    When entry "e1" grants "a"
    Then the worker is ordered to start "a" 2 times

  # Guards against the same where the worker's clock was read before the offer.
  Scenario: An offer is confirmed by its entry if the worker's clock shows that the agent was suspended
    When the worker's clock has counted 900 ms that the agent has not
    And entry "e1" offers direct tasks "a" of 4000
    Then the worker is ordered to start "a" 0 times
    And entry "e1" is now asked about "a"

  # Guards against a start without an answer that goes out again after a suspension under a grant from before it.
  Scenario: A start without an answer is confirmed by its entry if the agent was suspended meanwhile
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "unanswered"
    And the worker's clock has counted 900 ms that the agent has not
    And 200 ms pass and a snapshot shows no runs
    And the stop of "a" is answered "stopped"
    And 10 ms pass and a snapshot shows no runs
    Then the worker is ordered to start "a" 1 time
    And entry "e1" is now asked about "a"

  # Guards against a job that never ends: a task that has to be confirmed was dropped without a report.
  Scenario: A task that has to be confirmed is reported when its entry withdraws it
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "late"
    And entry "e1" withdraws "a"
    Then entry "e1" gets the report that "a" ended as "not-started"

  # Guards against a grant from before a suspension.
  Scenario: A task whose entry was asked before a suspension is given back
    When entry "e1" offers tentative tasks "a" of 4000
    Then entry "e1" is now asked about "a"
    When the worker's clock has counted 900 ms that the agent has not
    Then entry "e1" gets the report that "a" ended as "not-started"
    When entry "e1" grants "a"
    Then the worker is ordered to start "a" 0 times

  # Guards against a second run: a suspended agent whose worker had restarted meanwhile started an offer from before that.
  Scenario: An offer is confirmed by its entry if the time of day shows that the agent was suspended
    When the time of day has counted 900 ms that the agent has not
    And entry "e1" offers direct tasks "a" of 4000
    Then the worker is ordered to start "a" 0 times
    And entry "e1" is now asked about "a"

  # Guards against a start that waits for its turn behind others while the agent is suspended.
  Scenario: A start that waits for its turn is not sent if the agent was suspended meanwhile
    When entry "e1" offers direct tasks "a" of 4000
    And the time of day has counted 900 ms that the agent has not
    And 10 ms pass and a snapshot shows no runs
    Then the waiting start of "a" is not sent

  # Guards against giving work back when the time of day is set back.
  Scenario: A time of day that is set back changes nothing
    When the time of day has counted -2000 ms that the agent has not
    And entry "e1" offers direct tasks "a" of 4000
    Then the worker is ordered to start "a" 1 time

  # Guards against a second run: the refusal of an offer that came twice was taken for the end of its copy, which was granted.
  Scenario: An offer that comes twice is not refused
    When entry "e1" offers tentative tasks "a" of 4000
    And entry "e1" offers tentative tasks "a" of 4000
    Then entry "e1" gets no report on "a"

  # Guards against a second run while one goes on under a lease that was requested on the clock of the earlier worker process.
  Scenario: After a restart of the worker its silence ends no run before its longest lease is over
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started"
    And the first list of the next worker process shows "a"
    And renewals are sent every 70 ms for 300 ms without an answer
    And a renewal finds the worker unreachable
    And 650 ms go by
    Then entry "e1" gets no report on "a"
    When 200 ms go by
    Then entry "e1" gets the report that "a" ended as "lost"

  # Guards against renewals on the clock of the earlier worker process before the restart is known by a list.
  Scenario: No lease is extended after an answer whose clock has begun anew
    When entry "e1" offers direct tasks "a" of 4000
    And the start of "a" is answered "started" with a clock of 20 ms
    Then a renewal does not extend the lease
    When the first list of the next worker process shows "a"
    Then entry "e1" gets no report on "a"
    And a renewal extends the lease

  # Guards against the same where the start was repeated under the next number, which the next process does not know of.
  Scenario: A run is not reported as lost while an earlier start of its task may reach the next worker process
    When entry "e1" offers direct tasks "a" of 4000
    And 70 ms go by
    And the start of "a" is answered "unanswered"
    And 70 ms pass and a snapshot shows no runs
    And the stop of "a" is answered "stopped"
    And 10 ms pass and a snapshot shows no runs
    Then the worker is ordered to start "a" as run 2
    When the start of "a" is answered "started"
    And a renewal finds the worker unreachable
    And 1500 ms go by
    Then entry "e1" gets no report on "a"
    When the first list of the next worker process shows no runs
    Then entry "e1" gets the report that "a" ended as "crashed"

  # Guards against a task that is never started elsewhere as its worker does not come back.
  Scenario: A run is reported as lost once no earlier start of its task can be on its way
    When entry "e1" offers direct tasks "a" of 4000
    And 70 ms go by
    And the start of "a" is answered "unanswered"
    And a renewal finds the worker unreachable
    And 11000 ms go by
    Then entry "e1" gets no report on "a"
    When 1100 ms go by
    Then entry "e1" gets the report that "a" ended as "crashed"

  # Guards against a second run beside a start without an answer that the next process of a worker under the same id carries out.
  Scenario: A start without an answer is not reported as lost while its worker refuses connections
    When entry "e1" offers direct tasks "a b" of 4000
    And the start of "a" is answered "started"
    And 70 ms go by
    And the start of "b" is answered "unanswered"
    And a renewal finds the worker unreachable
    And 1500 ms go by
    Then entry "e1" gets the report that "a" ended as "crashed"
    And entry "e1" gets no report on "b"
    When the first list of the next worker process shows no runs
    Then entry "e1" gets no report on "b"
    When 100 ms go by
    And a later list of that process shows no runs
    And the stop of "b" is answered "stopped"
    And 10 ms go by
    And a later list of that process shows no runs
    Then entry "e1" gets the report that "b" ended as "crashed"

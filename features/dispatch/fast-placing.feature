Feature: Placement at little processor time
  An entry ranks the agents once per step of a job, and lists the waiting tasks once per turn of the event loop. Both
  must decide exactly as ranking all agents for every task and listing the tasks for every agent do.

  # Guards against a ranking that is not updated after an offer, or that breaks ties between agents differently.
  Scenario: Tasks are placed as by ranking all agents for each task
    When random jobs are placed on 2000 random fleets, on each in both ways
    Then both ways made the same offers, with the same estimates

  # Guards against offers that depend on whether agents are handled together or one by one.
  Scenario: Waiting tasks are offered to several agents as to one after the other
    When the waiting tasks of 4000 random fleets are offered to the agents in both ways
    Then both ways made the same offers, with the same estimates

Feature: Agents outside the subset of an entry
  An entry knows every agent of the fleet and keeps streams to a few. What it does in each tick must not grow with the
  agents that it knows.

  Background:
    Given an entry with streams to 2 agents that knows 1500 others

  Scenario: A calm entry does not look at the agents outside its subset
    When the entry checks whether it needs other agents
    Then no agent is chosen
    And the others were not looked at

  Scenario: Waiting tasks at busy agents bring a few others into reach
    Given a task has waited at the busy agents for 100 ms
    When the entry checks whether it needs other agents
    Then 4 agents are chosen

  Scenario: A label that no agent in reach has brings agents with it into reach
    Given a job has asked for the label "rack-7"
    When the entry checks whether it needs other agents
    Then 8 agents are chosen

Feature: Explanation of a request from logged lines
  The log lines of the processes are enough to find the result of a request and its causes.

  Background:
    Given the lines
      """
      {"time":1000,"level":"warn","process":"edge-1","event":"stream-lost","peer":"side-9-agent"}
      {"time":1200,"level":"warn","process":"edge-1","event":"job-answered","job":"a1","outcome":"not-run","reason":"overload","waitMs":164,"limitMs":136,"agents":11,"ms":0,"objectiveMs":809}
      edge-2 3.14 {"time":2600,"level":"info","process":"edge-2","event":"job-answered","job":"b2","outcome":"completed","reason":"none","ms":1207,"objectiveMs":720}
      {"time":2000,"level":"warn","process":"side-2","event":"run-stopped","task":"b2.0.0.0","run":1,"reason":"stalled","runMs":514,"percent":62}
      {"time":2010,"level":"warn","process":"side-2","event":"worker-distrusted","jobs":["b2","c7","d9"]}
      {"time":2020,"level":"warn","process":"side-2","event":"task-ended","task":"b2.0.0.0","run":1,"end":"abandoned","expectedMs":412,"runMs":539,"waitMs":18}
      {"time":2500,"level":"info","process":"side-3","event":"task-ended","task":"b2.0.0.0","run":2,"end":"done","expectedMs":412,"runMs":365,"waitMs":62}
      {"time":3000,"level":"warn","process":"side-4","event":"task-ended","task":"c3.0.0.0","run":1,"end":"lost","expectedMs":200,"runMs":90,"waitMs":1}
      {"time":9000,"level":"warn","process":"side-4","event":"worker-unreachable","kind":"unreachable"}
      {"time":3100,"level":"warn","process":"side-4","event":"worker-unreachable","kind":"unreachable"}
      {"time":3200,"level":"warn","process":"side-4","event":"lines-left-out","of":"info","count":7}
      {"time":12000,"level":"warn","process":"side-5","event":"task-ended","task":"f6.0.0.0","run":1,"end":"crashed","expectedMs":200,"runMs":10,"waitMs":1}
      {"time":12100,"level":"warn","process":"side-6","event":"task-ended","task":"f6.0.0.0","run":2,"end":"crashed","expectedMs":200,"runMs":10,"waitMs":1}
      {"time":12101,"level":"warn","process":"edge-3","event":"job-answered","job":"f6","outcome":"failed","reason":"crashes","ms":130,"objectiveMs":160}
      {"time":12300,"level":"warn","process":"edge-3","event":"job-answered","job":"g7","outcome":"not-run","reason":"quarantine","ms":0,"objectiveMs":160}
      {"time":20000,"level":"warn","process":"edge-2","event":"job-joined","job":"h8","owner":"edge-1","leftMs":1500}
      {"time":21000,"level":"warn","process":"edge-2","event":"job-taken-over","job":"h8","owner":"edge-1","evidence":"owner-lost","waitedMs":1000}
      {"time":21100,"level":"warn","process":"edge-2","event":"job-answered","job":"h8","outcome":"completed","reason":"none","ms":1100,"objectiveMs":2000}
      not a decision
      {"time":"soon","process":"side-4","event":"task-ended"}
      {"time":4000,"level":
      """

  Scenario: A refusal names its estimate, and what its entry believed
    When request "a1" is explained
    Then its log entries are "stream-lost job-answered"
    And the conclusions name "expected wait for free resources was 164 ms, and the limit was 136 ms"

  Scenario: A late answer names the run that stood still
    When request "b2" is explained
    Then its log entries are "run-stopped worker-distrusted task-ended task-ended job-answered"
    And the conclusions name "answered \"completed\" after 1207 ms; its objective was 720 ms"
    And the conclusions name "stopped after 514 ms at 62%, as \"stalled\", at side-2"

  Scenario: Without an answer, the loss of the entry is the likely cause, and missing lines are counted
    When request "c3" is explained
    Then its log entries are "task-ended worker-unreachable"
    And the conclusions name "No entry logged an answer"
    And 7 lines were left out

  Scenario: A job under which workers crashed names their agents
    When request "f6" is explained
    Then the conclusions name "Workers crashed under a task of it, at side-5, side-6"

  Scenario: A refusal for the quarantine of its route
    When request "g7" is explained
    Then the conclusions name "its route had crashed workers shortly before"

  Scenario: A request that a caller submitted to two entries names both
    When request "h8" is explained
    Then the conclusions name "submitted it to edge-2 while edge-1 served it"
    And the conclusions name "edge-2 took it over from edge-1 after 1000 ms (owner-lost)"

  Scenario: A request that no line names
    When request "e5" is explained
    Then there is no explanation

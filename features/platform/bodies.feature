Feature: Bodies of the platform
  JSON bodies from other programs are validated while they are decoded; an error message names the invalid field and its value.

  Scenario Outline: A malformed job
    When a job with <body> is decoded
    Then decoding fails with "<error>"

    Examples:
      | body                                                         | error                               |
      | []                                                           | the body must be an object          |
      | {                                                            | the body is not JSON                |
      | {}                                                           | Steps must be an array              |
      | {"Steps":[]}                                                 | Steps must not be empty             |
      | {"Steps":[7]}                                                | Steps[0] must be an object          |
      | {"Steps":[{"Count":-1}]}                                     | Count must be a non-negative number |
      | {"Steps":[{"Count":1.5}]}                                    | Count must be a non-negative integer |
      | {"Steps":[{"Cpu":"much"}]}                                   | Cpu must be a non-negative number   |
      | {"Steps":[{"After":[0]}]}                                    | Steps[0].After must refer to earlier |
      | {"Steps":[{"After":["x"]}]}                                  | After must hold indexes of steps    |
      | {"Steps":[{"Gang":1}]}                                       | Gang must be true or false          |
      | {"Steps":[{}],"Spec":7}                                      | Spec must be a string               |

  Scenario Outline: A job that asks for what is not done here
    When a job with <body> is decoded
    Then it is unsupported for "<reason>"

    Examples:
      | body                                                              | reason                   |
      | {"Steps":[{}]}                                                    | a job that must be stored |
      | {"BestEffort":true,"RepeatCount":3,"Steps":[{}]}                  | repeated jobs            |
      | {"BestEffort":true,"Steps":[{"Gang":true}]}                       | Gang                     |
      | {"BestEffort":true,"Steps":[{"Count":2},{"LongRunning":true}]}    | LongRunning              |
      | {"BestEffort":true,"Steps":[{"Count":2,"Cpu":3100,"MemMb":64}]}   |                          |

  Scenario Outline: A heartbeat from another writer names no worker
    When a heartbeat with <body> is decoded
    Then decoding fails with "<error>"

    Examples:
      | body                                                                              | error                           |
      | {"State":"asleep","Service":"s","Address":"a","Capacity":{},"Sequence":1}         | State must be ready or draining |
      | {"Service":"s","Address":"a","Capacity":{},"Sequence":1}                          | State must be a string          |
      | {"State":"ready","Service":7,"Address":"a","Capacity":{},"Sequence":1}            | Service must be a string        |
      | {"State":"ready","Service":"s","Address":"a","Sequence":1}                        | Capacity must be an object      |
      | {"State":"ready","Service":"s","Address":"a","Capacity":{"Cpu":"x"},"Sequence":1} | Cpu must be a non-negative number |
      | {"State":"ready","Service":"s","Address":"a","Capacity":{},"Sequence":"1"}        | Sequence must be a non-negative number |
      | {"State":"ready","Service":"s","Address":"a","Capacity":{},"Sequence":1,"born":1.5} | born must be a non-negative integer |
      | {"State":"ready","Service":"s","Address":"a","Capacity":{},"Sequence":1,"Labels":[1]} | Labels must hold strings    |

  Scenario: A configuration
    When a configuration with version 7 and route "h /p/ desk" is decoded
    Then its route has target "desk", priority 2, 3 attempts, slack factor 1.6 and target time 60 ms

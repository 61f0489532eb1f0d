Feature: Bodies of the platform
  Bodies that other programs wrote are decoded once; what can't be read is refused with the field and the value.

  Scenario Outline: A malformed job
    When a job with <body> is decoded
    Then the fault names "<fault>"

    Examples:
      | body                                                         | fault                               |
      | []                                                           | the body must be an object          |
      | {                                                            | the body is not JSON                |
      | {}                                                           | Steps must be a list                |
      | {"Steps":[]}                                                 | Steps must not be empty             |
      | {"Steps":[7]}                                                | Steps[0] must be an object          |
      | {"Steps":[{"Count":-1}]}                                     | Count must be a number from 0       |
      | {"Steps":[{"Count":1.5}]}                                    | Count must be a whole number from 0 |
      | {"Steps":[{"Cpu":"much"}]}                                   | Cpu must be a number from 0         |
      | {"Steps":[{"After":[0]}]}                                    | Steps[0].After must name earlier    |
      | {"Steps":[{"After":["x"]}]}                                  | After must hold numbers of steps    |
      | {"Steps":[{"Gang":1}]}                                       | Gang must be true or false          |
      | {"Steps":[{}],"Spec":7}                                      | Spec must be a text                 |

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
    Then the fault names "<fault>"

    Examples:
      | body                                                                              | fault                           |
      | {"State":"asleep","Service":"s","Address":"a","Capacity":{},"Sequence":1}         | State must be ready or draining |
      | {"Service":"s","Address":"a","Capacity":{},"Sequence":1}                          | State must be a text            |
      | {"State":"ready","Service":7,"Address":"a","Capacity":{},"Sequence":1}            | Service must be a text          |
      | {"State":"ready","Service":"s","Address":"a","Sequence":1}                        | Capacity must be an object      |
      | {"State":"ready","Service":"s","Address":"a","Capacity":{"Cpu":"x"},"Sequence":1} | Cpu must be a number            |
      | {"State":"ready","Service":"s","Address":"a","Capacity":{},"Sequence":"1"}        | Sequence must be a number       |
      | {"State":"ready","Service":"s","Address":"a","Capacity":{},"Sequence":1,"born":1.5} | born must be a whole number   |
      | {"State":"ready","Service":"s","Address":"a","Capacity":{},"Sequence":1,"Labels":[1]} | Labels must hold texts      |

  Scenario: A configuration
    When a configuration with version 7 and route "h /p/ desk" is decoded
    Then its route goes to "desk" with priority 2, 3 attempts and 60 ms beyond 1.6 times the work

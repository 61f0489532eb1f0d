Feature: Settings files
  An error in a settings file is found before a process starts, and its message names the JSON path, the value and what is allowed.

  Scenario: The page of settings is up to date
    Then the page of settings matches the schema

  Scenario: A file with a name alone is enough
    Given a settings file with {"name": "entry-1"}
    Then the settings are accepted, and "membership.probeIntervalMs" is 1000

  Scenario Outline: A bad value is refused
    Given a settings file with <text>
    Then the settings are refused as "<kind>" with "<path>", "<value>" and "<allowed>"

    Examples:
      | text                                                              | kind    | path                         | value                 | allowed                               |
      | {"name": "a", "prot": 7100}                                       | invalid | $                            | "prot"                | Unrecognized key                      |
      | {"name": "a", "peer": {"heartbeat": 5}}                           | invalid | $.peer                       | "heartbeat"           | Unrecognized key                      |
      | {}                                                                | invalid | $.name                       | (value: absent)       | expected string                       |
      | {"name": "Entry 1"}                                               | invalid | $.name                       | (value: "Entry 1")    | 1 to 63 lower-case letters            |
      | {"name": "a", "port": "7100"}                                     | invalid | $.port                       | (value: "7100")       | expected number                       |
      | {"name": "a", "port": 70000}                                      | invalid | $.port                       | (value: 70000)        | <=65535                               |
      | {"name": "a", "port": 1.5}                                        | invalid | $.port                       | (value: 1.5)          | expected int                          |
      | {"name": "a", "host": "localhost"}                                | invalid | $.host                       | (value: "localhost")  | must be an IP address                 |
      | {"name": "a", "peers": ["10.0.0.1:7100", "b:1"]}                  | invalid | $.peers[1]                   | (value: "b:1")        | must be an IP address and a port      |
      | {"name": "a", "log": {"level": "loud"}}                           | invalid | $.log.level                  | (value: "loud")       | "trace"\|"debug"\|"info"              |
      | {"name": "a", "membership": {"probeTimeoutMs": 900}}              | invalid | $.membership.probeTimeoutMs  | (value: 900)          | at most a quarter of probeIntervalMs  |
      | {"name": "a", "scheduling": {"urgencyWeights": {"high": 0}}}      | invalid | $.scheduling.urgencyWeights.high | (value: 0)        | >=0.001                               |
      | {"name": "a", "limits": null}                                     | invalid | $.limits                     | (value: null)         | expected object                       |

  Scenario: All faults of a file are told at once
    Given a settings file with {"name": "a", "port": -1, "publicPort": -2}
    Then the settings are refused as "invalid" with "$.port", "$.publicPort" and ">=0"

  Scenario: A file that is not JSON is refused
    Given a settings file with {"name": "a",
    Then the settings are refused as "malformed" with "settings file", "is not JSON" and "JSON"

  Scenario: A file that is not there is refused
    Given a settings file that does not exist
    Then the settings are refused as "unreadable" with "cannot read settings file", "missing.json" and "ENOENT"

Feature: A sidecar's load report separates running from waiting requests

  Scenario Outline: Each attempt counts once, as running or as waiting
    Given a load with <attempts> attempts at an engine that last reported <reported> waiting
    Then the load reports <running> running and <waiting> waiting

    Examples:
      | attempts | reported | running | waiting |
      | 0        | 0        | 0       | 0       |
      | 4        | 0        | 4       | 0       |
      | 12       | 8        | 4       | 8       |
      | 2        | 8        | 0       | 2       |

  Scenario: Without an engine all attempts count as running
    Given a load with 3 attempts and no engine
    Then the load reports 3 running and 0 waiting

Feature: A sidecar's load tells apart what runs and what waits in the engine

  Scenario Outline: Each request counts once
    Given a load with <attempts> attempts at an engine that last reported <reported> waiting
    Then the load tells <running> running and <waiting> waiting

    Examples:
      | attempts | reported | running | waiting |
      | 0        | 0        | 0       | 0       |
      | 4        | 0        | 4       | 0       |
      | 12       | 8        | 4       | 8       |
      | 2        | 8        | 0       | 2       |

  Scenario: Without an engine all attempts run
    Given a load with 3 attempts and no engine
    Then the load tells 3 running and 0 waiting

Feature: The estimate includes each cause of delay of a request

  Scenario Outline: Each cause of delay lengthens the estimate
    Then the estimate with <field> at <value> is longer by <min> to <max> seconds

    Examples:
      | field            | value | min   | max    |
      | adapter_resident | 0     | 0.005 | 0.05   |
      | cached_blocks    | 4     | -0.1  | -0.001 |
      | dispatched_since | 5     | 0.01  | 1      |
      | waiting          | 5     | 0.5   | 9      |
      | report_age_s     | 0.5   | 0     | 0      |
      | report_age_s     | 3     | 0.01  | 1      |
      | report_age_s     | 9e9   | 0.5   | 1      |
      | token_interval_s | 0.02  | 0.4   | 0.6    |
      | token_interval_s | 0     | 0.5   | 2      |

  Scenario: A service without tokens is estimated from its requests in progress
    Then the estimate of a plain service grows with 9 requests in progress tenfold

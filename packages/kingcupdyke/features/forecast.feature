Feature: Waits are predicted from the requests in progress

  Scenario Outline: The wait depends on the position in the queue
    Then the forecast of <left> s left at capacity <capacity> has wait <wait> at position <position>

    # Each queued request occupies its unit for 2 seconds.
    Examples:
      | left  | capacity | position | wait |
      | 3 1   | 2        | 0        | 1    |
      | 3 1   | 2        | 1        | 3    |
      | 3 1   | 2        | 2        | 3    |
      | 3 1   | 2        | 5        | 7    |
      | 3     | 2        | 0        | 0    |
      | 3 1 5 | 1        | 0        | 5    |
      | 3 1 5 | 1        | 2        | 9    |
      | -4    | 1        | 1        | 2    |

  Scenario: Estimates are corrected towards the observed durations, within bounds
    Then the forecast correction learns that requests take three times their estimates

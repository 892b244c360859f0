Feature: Waits are foretold from what is in progress

  Scenario Outline: A place in the queue has a time
    Then the forecast of <left> left with capacity <capacity> has place <place> wait <wait>

    # A waiting request holds its unit for 2 seconds.
    Examples:
      | left    | capacity | place | wait |
      | 3 1     | 2        | 0     | 1    |
      | 3 1     | 2        | 1     | 3    |
      | 3 1     | 2        | 2     | 3    |
      | 3 1     | 2        | 5     | 7    |
      | 3       | 2        | 0     | 0    |
      | 3 1 5   | 1        | 0     | 5    |
      | 3 1 5   | 1        | 2     | 9    |
      | -4      | 1        | 1     | 2    |

  Scenario: The pace corrects estimates towards what was measured, within bounds
    Then the forecast pace learns that requests take three times their estimates

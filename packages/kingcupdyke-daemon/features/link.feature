Feature: A gateway keeps trying to reach a sidecar whose connection is lost early

  Scenario Outline: A connection that is reset while it is being established does not end the heartbeats
    When link: the connection is reset <steps> steps of the event loop after the sidecar's host has accepted it
    Then link: the heartbeats go on and connect again

    Examples:
      | steps |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
      | 5     |
      | 6     |

  Scenario Outline: An attempt whose connection is reset while it is being established ends with a failure
    When link: an attempt's connection is reset <steps> steps of the event loop after the sidecar's host has accepted it
    Then link: the attempt ends with a failure

    Examples:
      | steps |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |
      | 5     |
      | 6     |

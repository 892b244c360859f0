Feature: One table of switches serves all stand-ins

  Scenario Outline: A wrong switch is refused and changes nothing
    Given the switches of faults for the "<standin>"
    Then faults refuses <values> and stays as it was

    Examples:
      | standin | values                             |
      | store   | {"lose_orders": 1}                 |
      | store   | {"down": 1}                        |
      | store   | {"slow_ms": true}                  |
      | store   | {"slow_ms": "5"}                   |
      | engine  | {"truncate": 1.5}                  |
      | engine  | {"truncate": 1, "no_such": 1}      |

  Scenario Outline: A counting switch strikes as often as it says
    Given the switches of faults for the "service"
    When faults takes {"lose_answers": <count>}
    Then faults strikes <strikes> times of 3

    Examples:
      | count | strikes |
      | 0     | 0       |
      | 2     | 2       |
      | -1    | 3       |

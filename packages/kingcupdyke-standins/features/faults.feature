Feature: Fault switches of the stand-ins

  Scenario Outline: An invalid switch name or value is rejected and changes nothing
    Given the fault switches of the stand-in "<standin>"
    Then faults rejects <values> and keeps all values

    Examples:
      | standin | values                             |
      | store   | {"lose_orders": 1}                 |
      | store   | {"down": 1}                        |
      | store   | {"slow_ms": true}                  |
      | store   | {"slow_ms": "5"}                   |
      | engine  | {"truncate": 1.5}                  |
      | engine  | {"truncate": 1, "no_such": 1}      |

  Scenario Outline: A counting switch applies its fault the given number of times
    Given the fault switches of the stand-in "service"
    When faults sets {"lose_answers": <count>}
    Then faults applies the fault in <applied> of 3 calls

    Examples:
      | count | applied |
      | 0     | 0       |
      | 2     | 2       |
      | -1    | 3       |

Feature: Configuration and membership updates between peers

  Scenario Outline: A peer with an older version is brought up to date
    Given convert's sender at version 9 with 4 changes, its receiver at version <version>
    When convert's message is received <times> times
    Then convert sent <sent>, and the receiver has version 9 and the leave notice

    Examples:
      | version | times | sent          |
      | 9       | 1     | nothing       |
      | 7       | 1     | changes 8 9   |
      | 7       | 2     | changes 8 9   |
      | 2       | 1     | a snapshot    |
      | 0       | 2     | a snapshot    |

  Scenario: A message with only a higher version requires a pull
    Given convert's sender at version 9 with 4 changes, its receiver at version 2
    Then convert's receiver that receives only the version stays at 2 and needs a pull

Feature: News between peers

  Scenario Outline: A peer that lacks versions is brought up to date
    Given convert's sender at version 9 with 4 changes, its receiver at version <version>
    When convert's news goes over the wire <times> times
    Then convert sent <sent>, and the receiver has version 9 and the leaving news

    Examples:
      | version | times | sent          |
      | 9       | 1     | nothing       |
      | 7       | 1     | changes 8 9   |
      | 7       | 2     | changes 8 9   |
      | 2       | 1     | a snapshot    |
      | 0       | 2     | a snapshot    |

  Scenario: A word of a higher version asks for a pull
    Given convert's sender at version 9 with 4 changes, its receiver at version 2
    Then convert's receiver that hears only of the version stays at 2 and needs a pull

Feature: Calls that watch the store do not grow with the changes

  Scenario Outline: <readers> of <gateways> gateways watch <changes> changes a second
    When watchinterval: <readers> of <gateways> gateways watch <changes> changes a second for 60 s
    Then watchinterval: all readers together make at most <calls> calls a second
    And watchinterval: half of the changes are known within <median> s, and all within <worst> s

    Examples:
      | readers | gateways | changes | calls | median | worst |
      | 4       | 4        | 4       | 17    | 0.001  | 0.001 |
      | 4       | 18       | 4       | 17    | 0.01   | 0.21  |
      | 4       | 68       | 40      | 21    | 0.11   | 0.21  |
      | 4       | 300      | 400     | 21    | 0.11   | 0.21  |
      | 4       | 68       | 0.1     | 1     | 0.001  | 0.001 |

  # Guards against a lost answer of the store that is noticed after the bound of the change.
  Scenario Outline: A call of <who> waits for <wait> s where a change has to be in force within <bound> s
    Then watchinterval: a call of <who> waits for <wait> s with a bound of <bound> s

    Examples:
      | who | bound | wait |
      | a primary reader | 3 | 2 |
      | a primary reader | 30 | 10 |
      | a primary reader | 1 | 0.5 |
      | a primary reader | 0 | 10 |
      | another gateway | 3 | 10 |

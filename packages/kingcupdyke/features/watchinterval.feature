Feature: Calls that watch the store do not grow with the changes

  Scenario Outline: <readers> gateways that read the store watch <changes> changes a second
    When watchinterval: <readers> gateways watch a store for 60 s with <changes> changes a second
    Then watchinterval: all gateways together make at most <calls> calls a second
    And watchinterval: half of the changes are known within <median> s, and all within <worst> s

    Examples:
      | readers | changes | calls | median | worst |
      | 2       | 0.1     | 1     | 0.01   | 0.11  |
      | 4       | 4       | 17    | 0.01   | 0.21  |
      | 4       | 40      | 20    | 0.11   | 0.21  |
      | 16      | 40      | 21    | 0.5    | 0.81  |
      | 68      | 40      | 70    | 0.55   | 1.01  |

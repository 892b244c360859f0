Feature: What a gateway at rest sends and receives does not grow with the number of gateways

  # Guards against messages whose number grows with the peers, and against work for each peer or kind.
  Scenario Outline: <gateways> gateways at rest
    When restcosts: <gateways> gateways of two regions have nothing to tell each other, for 3 s
    Then restcosts: a gateway receives at most 90 messages a second, and sends as many
    And restcosts: it decompresses and parses each of them once
    And restcosts: it encodes at most 15 messages a second

    Examples:
      | gateways |
      | 8 |
      | 64 |

Feature: Gateways hear of each other steadily, however many there are

  Scenario Outline: No peer is taken for gone while nothing is wrong: <gateways> gateways
    When peerschedule: <gateways> gateways in two regions send each other their states for 60 s
    Then peerschedule: no gateway ever takes a peer that it has heard for gone
    And peerschedule: a gateway receives at most <received> messages a second

    Examples:
      | gateways | received |
      | 4 | 40 |
      | 18 | 70 |
      | 42 | 70 |
      | 68 | 70 |
      | 300 | 70 |

  Scenario Outline: A gateway that ends is gone for all peers within <limit> s: <gateways> gateways
    When peerschedule: one of <gateways> gateways in two regions ends
    Then peerschedule: all others take it for gone within <limit> s

    Examples:
      | gateways | limit |
      | 4 | 1.6 |
      | 18 | 2.2 |
      | 68 | 7.8 |

  Scenario Outline: <case>
    When peerschedule: a state is urgent for <urgent_for> among 68 gateways
    Then peerschedule: it is sent immediately to <sent_to>

    Examples:
      | case | urgent_for | sent_to |
      | a stopping gateway or a new placement is known to all peers at once | all peers | all peers |
      | what waits is known to planners and local peers at once | planners | planners and local peers |

  Scenario Outline: What many gateways tell the planner at once stays bounded: <gateways> gateways
    When peerschedule: requests wait at each of <gateways> gateways all the time, for 10 s
    Then peerschedule: the planner receives at most 400 messages a second
    And peerschedule: other gateways receive at most 200 messages a second

    Examples:
      | gateways |
      | 4 |
      | 68 |
      | 300 |

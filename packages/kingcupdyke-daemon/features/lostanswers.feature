# Guards against a gateway that waits for news of the store that was lost, and serves by old ones.
Feature: Changes are in force within their bound although answers of the store are lost

  Scenario Outline: <change>, <gateways> gateways, silence to <silent> for <silent_s> s
    When lostanswers: the store is silent to <silent> of <gateways> gateways for <silent_s> s, and <change> in it
    Then lostanswers: all gateways follow within 4 s after the silence

    Examples:
      | change | gateways | silent | silent_s |
      | the configuration changes | 1 | 1 | 2 |
      | the configuration changes | 2 | 1 | 2 |
      | the configuration changes | 2 | 2 | 2 |
      | the configuration changes | 6 | 1 | 2 |
      | the configuration changes | 6 | 5 | 2 |
      | the configuration changes | 6 | 6 | 2 |
      | the configuration changes | 6 | 6 | 5 |
      | the configuration changes | 6 | 6 | 0.1 |
      | an endpoint is replaced | 1 | 1 | 2 |
      | an endpoint is replaced | 2 | 1 | 2 |
      | an endpoint is replaced | 6 | 5 | 2 |
      | an endpoint is replaced | 6 | 6 | 2 |

  Scenario: Gateways that do not miss anything ask no more often than they have to
    When lostanswers: 6 gateways run for 10 s, and the configuration changes 5 times
    Then lostanswers: all gateways together made at most 70 calls that watch the configuration
    And lostanswers: none of them was repeated because a change was missed

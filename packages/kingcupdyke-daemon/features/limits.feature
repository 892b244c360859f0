Feature: All gateways together keep the limit that an endpoint names in its answers

  Scenario Outline: At several gateways, <case>
    Given limits: 3 gateways before an endpoint with a limit of 1 a second and one without
    And limits: messages between the gateways are "<messages>"
    When limits: 9 requests a second come for 9 s, and "<event>" happens after 5 s
    Then limits: from 4 s on the endpoint has received at most 11 requests in any 4 s
    And limits: it has received at least 3 requests in the last 4 s
    And limits: all requests have been answered

    Examples:
      | case | messages | event |
      | requests that come evenly | soon | nothing |
      | messages that come late | late | nothing |
      | messages of which most are lost | lost | nothing |
      | gateways of which one starts again | soon | a restart |
      | gateways of which one joins late | soon | a join |

  Scenario: A limit that is no longer named ends at all gateways
    Given limits: 3 gateways before an endpoint with a limit of 1 a second and one without
    When limits: 9 requests a second come for 6 s, and the endpoint names no limit after 4 s
    Then limits: it has received at least 5 requests in the last 1 s
    And limits: all requests have been answered

  Scenario: Requests that the limit of the only endpoint does not permit are rejected immediately
    Given limits: 3 gateways before an endpoint with a limit of 0.2 a second and no other
    When limits: 30 requests come at the same time, after the endpoint has named its limit
    Then limits: no request has waited, and those that are rejected have a Retry-After header
    And limits: at most 5 are answered

  Scenario: A request to an endpoint with a limit counts at once at the other gateways
    Given limits: 3 gateways before an endpoint with a limit of 0.4 a second and no other
    When limits: a request comes at one gateway, 5.25 s after the endpoint has named its limit
    Then limits: 0.05 s later no gateway may send to the endpoint

  Scenario: Gateways agree on a limit although messages were lost
    Given limits: 3 gateways before an endpoint with a limit of 1 a second and no other
    When limits: one gateway knows the limit, as all messages on it were lost
    Then limits: after 0.8 s all gateways know it

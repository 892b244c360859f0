Feature: Gateways charge requests to the quotas of their callers

  Scenario: A request beyond the quota gets 429 and a time at which it is within it
    Given quotas: 3 gateways and a caller with 2 requests a second and a burst of 4
    When quotas: 12 requests come at once, to all gateways in turn
    Then quotas: 2 to 6 are answered and the others get 429, and the endpoint has received no others
    And quotas: a request is answered after the longest Retry-After

  Scenario: Requests through any gateway count
    Given quotas: 3 gateways and a caller with 10 requests a second and a burst of 5
    When quotas: 40 requests a second come for 10 s, to all gateways in turn
    Then quotas: 70 to 94 are answered in any 8 s, and the others get 429

  Scenario Outline: A request that has not run is not charged: <case>
    Given quotas: 1 gateways and a caller with 0.5 requests a second and a burst of 1
    And quotas: the endpoint does "<script>"
    When quotas: 4 requests come one after the other, 0.3 s apart
    Then quotas: their statuses are "<statuses>"

    Examples:
      | case | script | statuses |
      | the endpoint does not run it | notrun notrun ok | 503 503 200 429 |
      | there is no endpoint | down | 503 503 503 503 |
      | it has run | ok | 200 429 429 429 |
      | it may have run | close | 502 429 429 429 |

  Scenario: A gateway without its owner's answer rejects with 503
    Given quotas: 3 gateways and a caller with 0.5 requests a second and a burst of 1
    And quotas: messages between the gateways get lost
    When quotas: 3 requests come at once, to all gateways in turn
    Then quotas: all get 503 within 0.5 s

  Scenario: Without quotas nothing is sent between gateways and nothing is charged
    Given quotas: 3 gateways and a caller without a quota
    When quotas: 12 requests come at once, to all gateways in turn
    Then quotas: all are answered, and no gateway has sent a message on quotas

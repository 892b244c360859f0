Feature: Requests with a part in their prompts that crashes endpoints soon reach no endpoint

  Scenario Outline: At several gateways, <case>
    Given crashes: 3 gateways before 4 endpoints that crash on the part "bad"
    When crashes: 11 requests "<request>" with the part "bad" come at all gateways, 0.6 s apart
    Then crashes: at most 8 requests with the part "bad" have reached endpoints
    And crashes: sound requests with the other parts have been answered

    Examples:
      | case | request |
      | requests that are not repeated | GET /stream/1 |
      | requests that are repeated | GET /resume/1 |

Feature: Requests with a part in their prompts that crashes endpoints soon reach no endpoint

  Scenario Outline: At several gateways, <case>
    Given crashes: 3 gateways before 4 endpoints that crash on the part "bad"
    And crashes: messages between the gateways are "<messages>"
    When crashes: 13 requests "<request>" with the part "bad" come at all gateways, and "<event>" happens after the fifth
    Then crashes: at most 8 requests with the part "bad" have reached endpoints
    And crashes: requests with the other parts have been answered
    And crashes: all gateways reject a prompt with "bad" alone

    Examples:
      | case | request | messages | event |
      | requests that are not repeated | GET /stream/1 | soon | nothing |
      | requests that are repeated | GET /resume/1 | soon | nothing |
      | messages that come late | GET /stream/1 | late | nothing |
      | messages of which most are lost | GET /stream/1 | lost | nothing |
      | gateways of which one starts again | GET /stream/1 | soon | a restart |
      | gateways of which one joins late | GET /stream/1 | soon | a join |
      | gateways that all start again, one after the other | GET /stream/1 | soon | restarts |

  Scenario: Answers that break off at endpoints that go on cast no suspicion
    When crashes: 6 answers to prompts with the part "bad" break off, but the endpoints go on
    Then crashes: 6 requests with the part "bad" have reached endpoints

  Scenario: The requests at endpoints that end together are not suspected
    When crashes: 6 endpoints end together under requests with the part "bad"
    Then crashes: the next 3 requests with the part "bad" are answered

  Scenario: An endpoint that starts again at once has crashed too
    Given crashes: 3 gateways before 4 endpoints that crash on the part "bad"
    And crashes: the endpoints start again at once, at the same address
    When crashes: 13 requests "GET /stream/1" with the part "bad" come at all gateways, and "nothing" happens after the fifth
    Then crashes: at most 8 requests with the part "bad" have reached endpoints

  Scenario: A gateway that starts soon knows the crashes that its peers know
    Given crashes: 3 gateways before 1 endpoints that crash on the part "bad"
    When crashes: three crashes under "bad" are known at one gateway, as all messages on them were lost
    And crashes: another gateway starts
    Then crashes: after 0.4 s that gateway rejects "bad"

  Scenario: Gateways agree although messages on crashes were lost
    Given crashes: 3 gateways before 1 endpoints that crash on the part "bad"
    When crashes: three crashes under "bad" are known at one gateway, as all messages on them were lost
    Then crashes: after 4 s all gateways reject "bad"

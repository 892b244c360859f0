Feature: A request that crashes the endpoints that run it soon reaches none, in whatever attempt it comes

  Scenario Outline: At several gateways, <case>
    Given repeatedcrashes: 3 gateways before 4 endpoints that crash on one request
    And repeatedcrashes: messages between the gateways are "<messages>"
    When repeatedcrashes: it comes 13 times as "<request>" at all gateways, and "<event>" happens after the fifth
    Then repeatedcrashes: it has reached endpoints at most 6 times
    And repeatedcrashes: requests with another body, path, caller or prompt have been answered
    And repeatedcrashes: all gateways reject it

    Examples:
      | case | request | messages | event |
      | a request that is repeated | POST /safe/bad | soon | nothing |
      | a request that is not repeated | POST /once/bad | soon | nothing |
      | a stream | POST /stream/bad | soon | nothing |
      | messages that come late | POST /safe/bad | late | nothing |
      | messages of which most are lost | POST /once/bad | lost | nothing |
      | gateways of which one starts again | POST /once/bad | soon | a restart |
      | gateways of which one joins late | POST /once/bad | soon | a join |
      | gateways that all start again, one after the other | POST /once/bad | soon | restarts |

  Scenario: Endpoints that start again under other ids have crashed too
    Given repeatedcrashes: 3 gateways before 4 endpoints that crash on one request
    And repeatedcrashes: the endpoints start again under other ids
    When repeatedcrashes: it comes 13 times as "POST /once/bad" at all gateways, and "nothing" happens after the fifth
    Then repeatedcrashes: it has reached endpoints at most 6 times

  Scenario: Endpoints that it ends within half a second count one by one
    Given repeatedcrashes: 3 gateways before 4 endpoints that crash on one request
    When repeatedcrashes: it comes 3 times as "POST /once/bad" within 0.3 s
    Then repeatedcrashes: all gateways reject it

  Scenario: Copies of a request at endpoints that end together are not suspected
    Given repeatedcrashes: 2 gateways before 6 endpoints that crash on one request
    When repeatedcrashes: the endpoints end together under 3 copies each of another request
    Then repeatedcrashes: that request is answered

  Scenario: A request whose answers break off at endpoints that go on is not suspected
    Given repeatedcrashes: 1 gateways before 4 endpoints that crash on one request
    When repeatedcrashes: 6 answers to another request break off, but the endpoints go on
    Then repeatedcrashes: that request is answered

  Scenario: It is rejected immediately, with a time to come back
    Given repeatedcrashes: 1 gateways before 4 endpoints that crash on one request
    When repeatedcrashes: it comes 4 times as "POST /once/bad" within 1.2 s
    Then repeatedcrashes: the last answer is a 503 within 0.2 s, with a Retry-After header

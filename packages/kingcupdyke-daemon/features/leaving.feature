Feature: An endpoint that has said in an answer that it leaves gets no further requests

  Scenario Outline: At several gateways, <case>
    Given leaving: 3 gateways before an endpoint that will leave and one that stays
    And leaving: messages between the gateways are "<messages>"
    When leaving: 20 requests a second come for 5 s, it says after 1 s that it leaves, and "<event>" happens 1 s later
    Then leaving: from <seconds> s after its first such answer on it has received no request
    And leaving: all requests have been answered

    Examples:
      | case | messages | event | seconds |
      | messages that come soon | soon | nothing | 0.2 |
      | messages that come late | late | nothing | 0.7 |
      | messages of which most are lost | lost | nothing | 3 |
      | gateways of which one starts again | soon | a restart | 1.5 |
      | gateways of which one joins late | soon | a join | 1.5 |
      | gateways that get its entry again | soon | an entry | 0.2 |
      | an entry that lapses and comes again | soon | a lapse | 0.2 |

  Scenario Outline: It is noticed in <case>
    Given leaving: 1 gateways before an endpoint that will leave and one that stays
    When leaving: it gives the answer "<answer>" to "<request>" and says so there
    Then leaving: the gateway sends to the other endpoint only

    Examples:
      | case | request | answer |
      | a complete answer | GET /safe/1 | ok |
      | an answer that has not run | GET /safe/1 | notrun |
      | a failure | GET /safe/1 | fail |
      | an answer without a stamp | GET /safe/1 | unmarked |
      | an answer to another request, before its own | GET /safe/1 | stray |
      | an answer to another request only | GET /safe/1 | crossed |
      | the head of a stream | GET /stream/1 | stream |

  Scenario Outline: An engine is noticed in its answer to <call>
    When leaving: an engine says so in its answer to a planner's "<method>" call
    Then leaving: it is known to leave, and gets no order after that

    Examples:
      | call | method |
      | a request for its report | GET |
      | an order | POST |

  Scenario: An endpoint whose entry has said so gets no requests after an entry from before
    Given leaving: 1 gateways before an endpoint that will leave and one that stays
    When leaving: its entry says so, and its entry from before comes again
    Then leaving: it has received 0 requests

  Scenario: A request that waits for its connection meanwhile goes to another endpoint
    Given leaving: 1 gateways before an endpoint that will leave and one that stays
    When leaving: it is known to leave while a request to it waits for its connection
    Then leaving: it has received 0 requests
    And leaving: all requests have been answered

  Scenario Outline: An endpoint <case> is used
    Given leaving: 3 gateways before an endpoint that will leave and one that stays
    When leaving: it has left, and "<successor>" is listed
    Then leaving: the successor has received requests of each gateway

    Examples:
      | case | successor |
      | at the address of one that left | another endpoint |
      | that has started again under its id | a later start |

  Scenario: What another endpoint at its address says does not concern it
    Given leaving: 1 gateways before an endpoint that will leave and one that stays
    When leaving: another endpoint answers at its address that it leaves
    Then leaving: after 1 s it gets requests

  Scenario: An answer at one gateway is known at once at the others
    Given leaving: 3 gateways before an endpoint that will leave and one that stays
    When leaving: one gateway gets an answer that says so
    Then leaving: after 0.1 s all gateways know it

  Scenario: A gateway that starts soon knows what its peers know
    Given leaving: 3 gateways before an endpoint that will leave and one that stays
    When leaving: one gateway knows it, as all messages on it were lost
    And leaving: another gateway starts
    Then leaving: after 0.4 s that gateway knows it

  Scenario: Gateways agree although messages were lost
    Given leaving: 3 gateways before an endpoint that will leave and one that stays
    When leaving: one gateway knows it, as all messages on it were lost
    Then leaving: after 4 s all gateways know it

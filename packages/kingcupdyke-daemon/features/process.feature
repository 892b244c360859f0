Feature: A forwarding gateway starts, follows the store, and stops without cutting anything off

  Scenario: It is ready once it knows configuration and endpoints, and serves then
    When process: a gateway starts before its configuration is written
    Then process: it was not ready and refused requests until the configuration came
    And process: it is ready and serves within 1 s after that

  Scenario: A newer configuration is in force at once, an older one never replaces it
    When process: a gateway gets the versions "1 3 2" of its configuration
    Then process: version 3 is in force after each later one

  Scenario: An endpoint that leaves gets nothing more, one that comes gets work
    When process: the only endpoint leaves and another one comes
    Then process: requests after that are answered by the other one

  Scenario: Entries that nobody can use are passed over
    When process: unusable entries lie beside the endpoint's
    Then process: requests are served

  Scenario: It goes on with what it knows while the store is away
    When process: the store is away for 1 s
    Then process: requests are served during that time
    And process: a change made at the end of it is in force within 2 s

  Scenario: A planned stop
    When process: a gateway is stopped while a request is under way
    Then process: it says at once that it takes no connections
    And process: the request under way is answered
    And process: a request that comes soon after is answered, and asked to close its connection
    And process: one that comes late is refused truly
    And process: the process ends within its grace

  Scenario: A planned stop of the planner while the store is away
    When process: the gateway that plans is stopped while the store is away, which comes back after 4.5 s
    Then process: it keeps the lease until then, gives it back and ends within 1 s

  Scenario: The same with the store away for longer than the grace
    When process: the gateway that plans is stopped while the store is away, which comes back after 20 s
    Then process: it ends within its grace of 8 s

  Scenario: Changed settings are in force without a restart
    When process: the grace becomes 2 s while a gateway runs, which then stops with a request under way
    Then process: it ends within 2 s of that, and the request has its final answer

  Scenario Outline: Settings that cannot be taken leave those in force: <change>
    When process: the settings become "<change>" while a gateway runs
    Then process: its log says "<line>"
    And process: requests are served

    Examples:
      | change          | line                                                   |
      | unreadable      | the changed settings are unusable: no table            |
      | another address | changed settings need a restart to be in force: front  |
      | nothing         | settings read again, nothing has changed               |

  Scenario: Metrics tell of decisions, outcomes and beliefs
    When process: a gateway answers 3 requests, refuses 1, repeats 1 and is asked for its metrics
    Then process: the metrics hold
      | line                                                                             |
      | kingcupdyke_requests_total{outcome="answered",route="safe",status="200"} 4.0     |
      | kingcupdyke_requests_total{outcome="answered",route="once",status="503"} 1.0     |
      | kingcupdyke_decisions_total{decision="send",reason="",route="safe"} 5.0          |
      | kingcupdyke_decisions_total{decision="refuse",reason="no endpoint of the service",route="once"} 1.0 |
      | kingcupdyke_repeats_total{outcome="granted",service="service"} 1.0               |
      | kingcupdyke_configuration_version 1.0                                            |
      | kingcupdyke_endpoints{state="listed"} 0.0                                        |
      | kingcupdyke_ready 1.0                                                            |
    And process: the metrics hold histograms of "request, first_part, queue_wait" by route
    And process: the metrics hold the ages of "configuration, endpoint_list, lease"

  Scenario: A gateway that the store turns away goes on by what its peers hear
    When process: of two gateways one is cut off from the store, and then endpoint and configuration change
    Then process: within 1 s both answer by the new endpoint and have the new configuration in force
    And process: the one that was cut off is back at the store's own word within 2 s after the cut

  Scenario: A peer that falls silent has its line
    When process: one of two gateways ends without a word
    Then process: within 2 s the log of the other says that it was heard, and that it is silent

  Scenario: The store has forgotten the history that a watch goes on from
    When process: 2000 changes are made at once, the last of which lists another endpoint
    Then process: within 1 s the gateway has listed everything again and serves by the new endpoint

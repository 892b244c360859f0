Feature: A forwarding gateway starts, watches the store and stops without cutting off requests

  Scenario: A gateway is ready once it has read configuration and endpoints
    When process: a gateway starts before its configuration is written
    Then process: it was not ready and rejected requests until the configuration was written
    And process: it is ready and serves within 1 s after that

  Scenario: A newer configuration takes effect immediately, an older one never replaces it
    When process: the configuration is written with the versions "1 3 2" in this order
    Then process: version 3 stays in force after it was written

  Scenario: A draining endpoint receives no further requests, a new endpoint does
    When process: the only endpoint drains and another one registers
    Then process: further requests are answered by the other endpoint

  Scenario: Entries that can't be decoded are skipped
    When process: the store holds invalid entries beside a valid one
    Then process: requests are served

  Scenario: A gateway keeps serving while the store is unavailable
    When process: the store is unavailable for 1 s
    Then process: requests are served during the outage
    And process: a change made at the end of the outage is in force within 2 s

  Scenario: A planned stop completes requests in progress
    When process: a gateway is stopped while a request is in progress
    Then process: the readiness check fails immediately
    And process: the request in progress is answered
    And process: a request sent soon after is answered with Connection: close
    And process: a request sent late is rejected as unavailable
    And process: the process ends within its grace period

  Scenario: A stopping planner keeps its lease until the store is available again
    When process: the planner is stopped during an outage of the store that ends after 4.5 s
    Then process: the gateway keeps the lease until then, releases it and ends within 1 s

  Scenario: A stopping planner ends within its grace period if the store stays unavailable
    When process: the planner is stopped during an outage of the store that ends after 20 s
    Then process: the gateway ends within its grace period of 8 s

  Scenario: Changed settings take effect without a restart
    When process: the grace period is set to 2 s, and the gateway stops while a request is in progress
    Then process: the gateway ends within 2 s, and the request gets a final answer

  Scenario Outline: Settings that cannot be applied leave the current ones in force: <change>
    When process: the settings become "<change>" while a gateway runs
    Then process: the log contains "<line>"
    And process: requests are served

    Examples:
      | change          | line                                                   |
      | unreadable      | the changed settings are unusable: no table            |
      | another address | changed settings need a restart to be in force: front  |
      | nothing         | settings read again, nothing has changed               |

  Scenario: Metrics contain decisions, outcomes and the ages of data
    When process: a gateway answers 3 requests, rejects 1, retries 1 and its metrics are read
    Then process: the metrics contain
      | line                                                                             |
      | kingcupdyke_requests_total{outcome="answered",route="safe",status="200"} 4.0     |
      | kingcupdyke_requests_total{outcome="answered",route="once",status="503"} 1.0     |
      | kingcupdyke_decisions_total{decision="send",reason="",route="safe"} 5.0          |
      | kingcupdyke_decisions_total{decision="refuse",reason="no endpoint of the service",route="once"} 1.0 |
      | kingcupdyke_repeats_total{outcome="granted",service="service"} 1.0               |
      | kingcupdyke_configuration_version 1.0                                            |
      | kingcupdyke_endpoints{state="listed"} 0.0                                        |
      | kingcupdyke_ready 1.0                                                            |
    And process: the metrics contain histograms of "request, first_part, queue_wait" by route
    And process: the metrics contain the ages of "configuration, endpoint_list, lease"

  Scenario: A gateway that can't reach the store is kept up to date by its peers
    When process: one of two gateways is partitioned from the store, then endpoint and configuration change
    Then process: within 1 s both use the new endpoint and have the new configuration in force
    And process: the partitioned gateway reads the store itself again within 2 s after the partition

  Scenario: A peer that becomes unresponsive is logged
    When process: one of two gateways ends without notice
    Then process: within 2 s the other one logs that the peer was heard and then that it is silent

  Scenario: A watch whose position the store has compacted away is replaced by a new list
    When process: 2000 changes are made in a burst, the last of which lists another endpoint
    Then process: within 1 s the gateway has listed the objects again and uses the new endpoint

  Scenario: A client continues its stream at another gateway, not at another software version
    When process: a stream breaks off, its gateway ends, and another gateway is asked to continue it
    Then process: the stream continues at the software version that began it

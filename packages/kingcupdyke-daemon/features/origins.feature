Feature: A gateway finds the origin of a stream that began at another one

  Scenario Outline: <case>
    Given origins: gateways "<gateways>", by region
    And origins: a stream begins at "a1"
    When origins: the gateways "<ended>" end
    And origins: "<asker>" looks for the stream's origin
    Then origins: it is found: <found>
    And origins: that takes at most <limit> s

    Examples:
      | case | gateways | ended | asker | found | limit |
      | at a gateway that stored it | a1 a2 | none | a2 | yes | 0.05 |
      | at a gateway that did not store it | a1 a2 a3 a4 a5 a6 b1 | none | a4 | yes | 0.1 |
      | after the gateway where the stream began has ended | a1 a2 a3 a4 a5 a6 b1 | a1 | a4 | yes | 0.1 |
      | in another region, after the whole region has ended | a1 a2 b1 b2 b3 | a1 a2 | b2 | yes | 0.1 |
      | nowhere, if no gateway is left that stored it | a1 a2 a3 a4 a5 a6 | all that stored it | a4 | no | 0.3 |

  Scenario: A stream that no gateway knows is unknown as soon as the peers have answered
    Given origins: gateways "a1 a2 b1", by region
    When origins: "b1" looks for the stream's origin
    Then origins: it is found: no
    And origins: that takes at most 0.1 s

  Scenario: Messages on origins and states that are sent at the same time don't end the gateway
    When origins: a gateway sends a peer 100 messages on origins, and its state in between
    Then origins: the peer receives them all

  Scenario: A gateway reports to the planner the streams that wait for their software version
    When origins: a stream of "v1" waits at a gateway while its peer "g2" plans and "g3" does not
    Then origins: the gateway has reported it to "g2" only

Feature: Peers let the holder of a lease keep it while the store does not answer

  Scenario Outline: <case>
    When leasepromise: "<events>" happens to gateways a, b and c, of which a holds fence 3
    Then leasepromise: the proof of a is from second "<proof>", and b <may> take the lease

    Examples:
      | case | events | proof | may |
      | no peer has answered | send a 1 | none | may not |
      | all peers have answered | send a 1; send b 1.1; send c 1.2 | 1.0 | may not |
      | the oldest message that an answer names counts | send a 1; send b 1.1; send a 2; send c 2.1 | 1.0 | may not |
      | one peer has not answered | send a 1; send b 1.1 | none | may not |
      | a promise for an earlier number renews nothing | send a 1; send b 1.1; send c 1.2; lose a 2; send b 2.1; send c 2.2 | 1.0 | may not |
      | a promise expires | send a 1; wait 5.3 | none | may |
      | a promise of another gateway forbids it as well | send a 1; send c 5; wait 5.3 | none | may not |
      | a promise that another gateway sends again is not renewed | send a 1; send c 1.1; send c 5.1; wait 5.4 | none | may |
      | an expired promise is not sent again | send a 1; send c 1.1; wait 5.4; send c 5.4 | none | may |
      | a holder that released the lease gets no promise | send a 1; release a 2; wait 2.1 | none | may |
      | a rival gives no promise | send a 1; rival b; send a 2; send b 2.1; send c 2.2 | none | may not |

  Scenario Outline: Random outages, partitions, freezes and kills: seed <seed>
    When leasepromise: four gateways contend for 300 s under faults, with seed <seed>
    Then leasepromise: no two gateways sent orders within 3 s of each other or with one fence, and no fence decreased
    And leasepromise: orders were sent in at least 55 percent of the time

    Examples:
      | seed |
      | 1 |
      | 2 |
      | 3 |
      | 4 |
      | 5 |
      | 6 |
      | 7 |
      | 8 |
      | 9 |
      | 10 |
      | 11 |
      | 12 |

  Scenario: A holder that is lost for good has a successor
    When leasepromise: the holder is lost for good from second 10 on, of 60
    Then leasepromise: another gateway sends orders from second 17 on at the latest

  Scenario: While the store is down for all gateways, the holder keeps the lease
    When leasepromise: the store is down for all for 30 s
    Then leasepromise: orders were sent in at least 90 percent of the time
    And leasepromise: without the promises of peers they were sent in at most 40 percent of it

  Scenario: A gateway that was lost for good before an outage does not end the lease in the outage
    When leasepromise: a gateway without the lease is lost for good from second 5 on, and the store is down for all from 15 to 30
    Then leasepromise: orders were sent from second 15 to 30 in at least 90 percent of the time

  Scenario Outline: A gateway partitioned from its peers, but not from the store, takes the lease only after its holder has stopped: <case>
    When leasepromise: gateway <lost> receives from no peer from second 5 on, and the others lose the store from 15 to 70
    Then leasepromise: no two gateways sent orders within 3 s of each other or with one fence, and no fence decreased
    And leasepromise: gateway <lost> sends orders in the end

    Examples:
      | case | lost |
      | d | d |
      | c | c |

  # Guards against two holders with one fencing number after the store has come back from a copy.
  Scenario Outline: Random drills of the store and planned restarts, among other faults: seed <seed>
    When leasepromise: four gateways contend for 300 s under faults, drills of the store and planned restarts, with seed <seed>
    Then leasepromise: no two gateways sent orders within 3 s of each other or with one fence, and no fence decreased
    And leasepromise: the store has come back from a copy, and orders were sent in 2 eras

    Examples:
      | seed |
      | 21 |
      | 22 |
      | 23 |
      | 24 |
      | 25 |
      | 26 |
      | 27 |
      | 28 |
      | 29 |
      | 30 |
      | 31 |
      | 32 |

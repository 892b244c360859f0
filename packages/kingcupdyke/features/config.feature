Feature: An accepted configuration reaches every process and never reverts

  Scenario Outline: Only the next version or a higher snapshot is applied
    When config at version 5 receives <arrivals>
    Then config is at version <version> with its rules and needs a pull: <pull>

    Examples:
      | arrivals                                     | version | pull |
      | change 6                                     | 6       | no   |
      | change 6, change 6                           | 6       | no   |
      | change 5, change 1                           | 5       | no   |
      | change 7                                     | 5       | yes  |
      | change 8, change 6, change 7                 | 7       | yes  |
      | change 7, change 6, change 7                 | 7       | no   |
      | snapshot 9                                   | 9       | no   |
      | snapshot 9, change 6, change 10              | 10      | no   |
      | snapshot 3, snapshot 5                       | 5       | no   |
      | change 6, snapshot 5, change 7               | 7       | no   |
      | snapshot 8, snapshot 6, snapshot 9           | 9       | no   |
      | report of 9                                  | 5       | yes  |

  Scenario Outline: A peer that is behind gets the missing changes, or a snapshot
    When config at version 5 receives <arrivals>
    Then config has for a peer at version <peer>: <answer>

    Examples: a replica keeps at most four changes
      | arrivals              | peer | answer          |
      | change 6              | 6    | nothing         |
      | change 6              | 9    | nothing         |
      | change 6              | 3    | changes 4 5 6   |
      | change 6              | 2    | changes 3 4 5 6 |
      | change 6              | 1    | a snapshot      |
      | snapshot 9            | 8    | a snapshot      |
      | snapshot 9, change 10 | 9    | changes 10      |

  Scenario: The rule set is built once per version, and an old one is not modified
    Then config at version 5 keeps its rule set until a change, which does not modify the old one

  Scenario Outline: All replicas reach the accepted version despite faults
    When a config network of 12 hosts per data centre gets 3 changes under the fault "<fault>"
    And config replicas pull for <rounds> rounds
    Then every config replica is at version 8 with its rules, and no version ever decreased

    Examples:
      | fault                        | rounds |
      | none                         | 0      |
      | a watcher killed             | 4      |
      | a watch stalled              | 0      |
      | all watches stalled but one  | 4      |
      | store down after acceptance  | 4      |
      | started in an outage         | 1      |
      | pushes lost                  | 4      |
      | pushes duplicated, reordered | 4      |
      | old deltas arriving late     | 0      |
      | regions partitioned          | 4      |

  Scenario: Versions never decrease under random loss, delay, duplication, restarts and pulls
    Then config keeps its invariants in every run of the state machine

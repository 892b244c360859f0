Feature: Claims that wait for a bucket share one update

  # Scripts are those of idempotency.feature; all keys fall in one of two buckets.

  Scenario: Claims that come during an update are carried by the next one together
    When keyworker claims 1 key, starts its update and claims 30 more of the same bucket
    Then keyworker has made 2 reads and 2 writes and given 31 claims

  Scenario: Two buckets are updated beside each other
    When keyworker claims 40 keys over two buckets at once
    Then keyworker has made 2 reads and 2 writes and given 40 claims

  Scenario: A settlement travels with the next claim of its bucket
    When keyworker settles a record while a claim waits
    Then keyworker has made 2 reads and 2 writes and given 2 claims

  Scenario Outline: While the store is away settling is tried ever less often, one bucket at a time
    When keyworker settles 40 records of 40 buckets in an outage of <outage_s> s
    Then keyworker has made <least> to <most> reads in the outage and keeps all 40 records
    And keyworker settles them when the store is back, with at most 16 updates at once

    Examples:
      | outage_s | least | most |
      | 60       | 20    | 22   |
      | 600      | 36    | 42   |

  Scenario: An update that finds nothing left to write shows that the store is back
    When keyworker settles records whose writes were done and their answers lost in an outage
    Then keyworker reads all buckets at once when the store is back

  Scenario: Sidecars with chance of their own try again at times of their own
    When keyworker tries to settle in an outage with 3 sources of chance
    Then keyworker tries again at 3 times, all within the first second

  Scenario: A bucket that cannot take a settlement is tried once a second
    When keyworker settles a record of a bucket that is over its size for 5 s
    Then keyworker has made 5 reads and 0 writes and given 0 claims

  Scenario: Answers that wait in an outage are bounded, their records are not dropped
    When keyworker settles 10 answers of 1000 bytes with room for 3500
    Then keyworker keeps 10 records to settle and writes 3 answers whole

  Scenario: What is settled later in the same outage wins
    When keyworker settles a record as unknown and, during its update, as answered
    Then keyworker has stored "answered"

  Scenario: An ended attempt is forgotten after a while
    When keyworker gets 5 claims and 700 s pass
    Then keyworker remembers no attempt

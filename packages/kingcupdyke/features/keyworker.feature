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

  Scenario: While the store is away settling is tried ever less often, one bucket at a time
    When keyworker settles 40 records of 40 buckets in an outage of 60 s, asked 10 times a second
    Then keyworker has made at most 22 reads in the outage and keeps all 40 records
    And keyworker settles them when the store is back, with at most 16 updates at once

  Scenario: Answers that wait in an outage are bounded, their records are not dropped
    When keyworker settles 10 answers of 1000 bytes with room for 3500
    Then keyworker keeps 10 records to settle and writes 3 answers whole

  Scenario: What is settled later in the same outage wins
    When keyworker settles a record as unknown and, during its update, as answered
    Then keyworker has stored "answered"

  Scenario: An ended attempt is forgotten after a while
    When keyworker gets 5 claims and 700 s pass
    Then keyworker remembers no attempt

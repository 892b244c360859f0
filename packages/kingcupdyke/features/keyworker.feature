Feature: Pending claims and settlements of a bucket share one update

  # All keys belong to one of two buckets, unless a scenario names another number.

  Scenario: Claims that arrive during an update share the next one
    When keyworker claims 1 key, starts its update and claims 30 more of the same bucket
    Then keyworker has made 2 reads and 2 writes and granted 31 claims

  Scenario: Two buckets are updated concurrently
    When keyworker claims 40 keys of two buckets concurrently
    Then keyworker has made 2 reads and 2 writes and granted 40 claims

  Scenario: A settlement is stored together with the next claim of its bucket
    When keyworker settles a record while a claim is pending
    Then keyworker has made 2 reads and 2 writes and granted 2 claims

  Scenario Outline: In an outage settling backs off, and only one bucket at a time is tried
    When keyworker settles 40 records of 40 buckets in an outage of <outage_s> s
    Then keyworker has made <min_reads> to <max_reads> reads in the outage and keeps all 40 records
    And keyworker settles them after the outage, with at most 16 updates in flight

    Examples:
      | outage_s | min_reads | max_reads |
      | 60       | 20        | 22        |
      | 600      | 36        | 42        |

  Scenario: An update that reads a bucket and has nothing to write ends the backoff
    When keyworker settles records whose writes took effect but whose answers were lost
    Then keyworker reads all buckets concurrently after the outage

  Scenario: Sidecars with different random generators retry at different times
    When keyworker tries to settle in an outage with 3 random generators
    Then keyworker retries at 3 different times, all within the first second

  Scenario: A bucket that cannot store a settlement is tried once a second
    When keyworker settles a record of a bucket that is over its size for 5 s
    Then keyworker has made 5 reads and 0 writes and granted 0 claims

  Scenario: The size of pending answers is limited in an outage, but no record is dropped
    When keyworker settles 10 answers of 1000 bytes with a limit of 3500 bytes
    Then keyworker keeps 10 records to settle and writes 3 complete answers

  Scenario: A later settlement of the same attempt replaces an earlier one
    When keyworker settles a record as unknown and, during its update, as answered
    Then keyworker has stored "answered"

  Scenario: Ended attempts are dropped after the time in which a claim may run
    When keyworker gets 5 claims and 700 s pass
    Then keyworker has no recorded attempts

Feature: Records of idempotency keys are stored in buckets of limited size

  Scenario: A bucket is decoded as it was encoded
    When keyrecord encodes a bucket with an answer of all byte values and non-ASCII names
    Then keyrecord decodes the same bucket

  Scenario Outline: A value that is not a bucket is rejected instead of treated as empty
    When keyrecord decodes <value>
    Then keyrecord raises a ValueError

    Examples:
      | value                          |
      | {"records": [{"caller": "x"}]} |
      | {"records": 7}                 |
      | {}                             |
      | [1]                            |
      | not JSON                       |

  Scenario: Keys are scoped to their caller and distributed over all buckets
    Then keyrecord separates the same key of two callers and distributes 4000 keys over 8 buckets

  Scenario Outline: Trimming drops no record of a request that may have run: <case>
    Given keyrecord has <count> records "<state>" of age <age_s> s with answers of <answer> bytes
    When keyrecord trims the bucket to <max_bytes> bytes
    Then keyrecord keeps <kept> records, <whole> of them with their answers

    Examples:
      | case                               | count | state    | age_s | answer | max_bytes | kept | whole |
      | all fit                            | 10    | answered | 60    | 1000   | 100000  | 10   | 10    |
      | answers are dropped before records | 100   | answered | 60    | 1000   | 100000  | 100  | 66    |
      | one answer too large               | 1     | answered | 60    | 70000  | 1000000 | 1    | 0     |
      | past retention                     | 10    | answered | 90000 | 1000   | 100000  | 0    | 0     |
      | claims past retention              | 10    | claimed  | 90000 | 0      | 100000  | 0    | 0     |
      | claims are kept within retention   | 10    | claimed  | 86000 | 0      | 10000   | 10   | 0     |
      | unknown is kept within retention   | 100   | unknown  | 86000 | 0      | 5000    | none | 0     |
      | not run is dropped for space       | 100   | not_run  | 60    | 0      | 5000    | 51   | 0     |
      | claims are never dropped to fit    | 100   | claimed  | 60    | 0      | 10000   | none | 0     |

  Scenario: The size of names includes JSON escapes
    Given keyrecord has 10 records "unknown" of age 60 s with answers of 0 bytes
    When keyrecord gives each a key of 200 escaped characters and trims the bucket to 9000 bytes
    Then keyrecord keeps none records, 0 of them with their answers

  Scenario: The oldest answers are replaced by their digests first
    Given keyrecord has 3 records "answered" of age 60 s with answers of 9000 bytes
    When keyrecord trims the bucket to 27000 bytes
    Then keyrecord has dropped the body of record 0 alone and kept its digest

  Scenario: A trimmed bucket stays within its size when all its claims are settled
    Given keyrecord has 500 records "claimed" of age 60 s with answers of 0 bytes
    When keyrecord fills a bucket of 200000 bytes with claims and answers all with 70000 bytes
    Then keyrecord encodes the bucket in 200000 bytes

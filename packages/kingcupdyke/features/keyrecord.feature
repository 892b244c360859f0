Feature: Records of idempotency keys outlive processes and fit the store

  Scenario: A bucket is read back as it was written
    When keyrecord encodes a bucket with an answer of every byte and names of every script
    Then keyrecord reads the same bucket back

  Scenario Outline: A value that is no bucket is refused instead of taken for empty
    When keyrecord decodes <value>
    Then keyrecord raises a ValueError

    Examples:
      | value                          |
      | {"records": [{"caller": "x"}]} |
      | {"records": 7}                 |
      | {}                             |
      | [1]                            |
      | not JSON                       |

  Scenario: Keys of different callers are different keys
    Then keyrecord tells apart the same key of two callers and spreads 4000 keys over 8 buckets

  Scenario Outline: Trimming forgets nothing that may have run: <case>
    Given keyrecord has <count> records "<state>" of age <age_s> s with answers of <answer> bytes
    When keyrecord trims the bucket to <most> bytes
    Then keyrecord keeps <kept> records, <whole> of them with their answers

    Examples:
      | case                               | count | state    | age_s | answer | most    | kept | whole |
      | all fit                            | 10    | answered | 60    | 1000   | 100000  | 10   | 10    |
      | answers go before records          | 100   | answered | 60    | 1000   | 100000  | 100  | 66    |
      | one answer too large               | 1     | answered | 60    | 70000  | 1000000 | 1    | 0     |
      | past retention                     | 10    | answered | 90000 | 1000   | 100000  | 0    | 0     |
      | claims past retention              | 10    | claimed  | 90000 | 0      | 100000  | 0    | 0     |
      | claims are kept within retention   | 10    | claimed  | 86000 | 0      | 10000   | 10   | 0     |
      | unknown is kept within retention   | 100   | unknown  | 86000 | 0      | 5000    | none | 0     |
      | not run is dropped for space       | 100   | not_run  | 60    | 0      | 5000    | 51   | 0     |
      | claims that do not fit are no fit  | 100   | claimed  | 60    | 0      | 10000   | none | 0     |

  Scenario: Names that JSON escapes count with their escapes
    Given keyrecord has 10 records "unknown" of age 60 s with answers of 0 bytes
    When keyrecord gives each a key of 200 escaped characters and trims the bucket to 9000 bytes
    Then keyrecord keeps none records, 0 of them with their answers

  Scenario: The oldest answers lose their bodies first and keep a digest
    Given keyrecord has 3 records "answered" of age 60 s with answers of 9000 bytes
    When keyrecord trims the bucket to 27000 bytes
    Then keyrecord has dropped the body of record 0 alone and kept its digest

  Scenario: Settling every claim of a bucket that was trimmed never passes its size
    Given keyrecord has 500 records "claimed" of age 60 s with answers of 0 bytes
    When keyrecord fills a bucket of 200000 bytes with claims and answers all with 70000 bytes
    Then keyrecord encodes the bucket in 200000 bytes

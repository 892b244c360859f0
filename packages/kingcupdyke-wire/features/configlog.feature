Feature: The change log in the store

  Scenario Outline: The whole configuration is read, with or without its snapshot
    Given a configlog of <changes> changes
    And the configlog's snapshot <snapshot>
    When configlog reads the configuration and the changes after <after>
    Then configlog returns version <changes> with its rules, and <count> changes after it

    Examples:
      | changes | snapshot        | after | count |
      | 0       | is as written   | 0     | 0     |
      | 3       | is as written   | 1     | 2     |
      | 99      | is as written   | 98    | 1     |
      | 100     | is as written   | 99    | 1     |
      | 230     | is as written   | 0     | 230   |
      | 230     | is missing      | 199   | 31    |
      | 230     | is of version 5 | 230   | 0     |

  Scenario: A watch from the position of a read misses no change
    Given a configlog of 3 changes
    When configlog reads the log after 3 and another change is accepted
    Then configlog's watch returns change 4 and then nothing

  Scenario: A snapshot is written every 64 changes and never replaced by an older one
    Given a configlog of 130 changes
    Then configlog's snapshot holds version 128, and 130 after it is written twice

  Scenario Outline: Applying a change under a store fault reports a proven result or an unknown outcome
    Given a configlog of 3 changes
    When configlog applies a change on version <base> while <fault>
    Then configlog ends as <result> and the log holds <changes> changes

    Examples:
      | base | fault                                  | result         | changes |
      | 3    | nothing fails                          | Applied        | 4       |
      | 2    | nothing fails                          | Conflict       | 3       |
      | 5    | nothing fails                          | NotApplied     | 3       |
      | 3    | another writer is first                | Conflict       | 4       |
      | 3    | the store is down                      | NotApplied     | 3       |
      | 3    | the store goes down before the write   | NotApplied     | 3       |
      | 3    | the answer to the write is lost        | Applied        | 4       |
      | 3    | the write is lost in transit           | Applied        | 4       |
      | 3    | the answer is lost, a change follows   | Applied        | 5       |
      | 3    | the answer is lost, the store goes down | UnknownOutcome | 4      |

  Scenario: An object that cannot be decoded is reported as a failure
    Given a configlog of 3 changes
    And the configlog's change 4 cannot be decoded
    Then configlog's reads fail at step "configure"

Feature: A sidecar claims idempotency keys correctly for any content of the store

  Scenario Outline: A claim while the store holds <found>
    Given keys: a store that holds <found>
    When keys: an attempt claims its key
    Then keys: the result is <result> and the sidecar keeps running

    Examples:
      | found                | result    |
      | nothing              | Claimed   |
      | an invalid bucket    | Unclaimed |
      | an answer to the key | Replay    |

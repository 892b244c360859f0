Feature: A sidecar claims keys truly, whatever the store holds

  Scenario Outline: A claim meets <found>
    Given keys are in a store that holds <found>
    When keys claim one
    Then keys give <result> and the sidecar goes on

    Examples:
      | found                   | result    |
      | nothing                 | Claimed   |
      | what is no bucket       | Unclaimed |
      | an answer to the key    | Replay    |

Feature: Continuous batching with priorities

  Scenario: With fewer slots than requests, the lowest priority number runs first
    Given a batch of 1 slot with 1 ms per token
    When batch runs requests with the priorities "1 5 0 5 0"
    Then batch has completed the priorities in the order "1 0 0 5 5"

  Scenario Outline: The time per token grows with the batch size
    Given a batch of 8 slots with 2 ms per token, plus 4 ms per further request
    When batch runs <requests> requests of 5 tokens
    Then batch has taken at least <least> s

    Examples:
      | requests | least |
      | 1        | 0.010 |
      | 8        | 0.150 |

  Scenario Outline: Prompts are prefilled one after the other at a limited rate: <prompts>
    Given a batch of 8 slots with 1 ms per token, plus 0 ms per further request
    And batch prefills 20000 prompt tokens per second
    When batch runs a request of 1 token for each prompt length "<prompts>"
    Then batch has taken at least <least> s

    Examples:
      | prompts   | least |
      | 0         | 0.001 |
      | 2000      | 0.100 |
      | 2000 2000 | 0.200 |

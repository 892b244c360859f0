Feature: Requests run together, the most urgent first

  Scenario: Where slots are short, the lowest priority number goes first
    Given a batch of 1 slot with 1 ms a token
    When batch runs the priorities "1 5 0 5 0"
    Then batch has ended them in the order "1 0 0 5 5"

  Scenario Outline: A token takes longer the larger the batch is
    Given a batch of 8 slots with 2 ms a token, 4 more for each other
    When batch runs <requests> requests of 5 tokens
    Then batch has taken at least <least> s

    Examples:
      | requests | least |
      | 1        | 0.010 |
      | 8        | 0.150 |

  Scenario Outline: Prompts are read one after the other, where that takes time: <prompts>
    Given a batch of 8 slots with 1 ms a token, 0 more for each other
    And batch reads 20000 prompt tokens a second
    When batch runs a request of 1 token for each of the prompts "<prompts>"
    Then batch has taken at least <least> s

    Examples:
      | prompts   | least |
      | 0         | 0.001 |
      | 2000      | 0.100 |
      | 2000 2000 | 0.200 |

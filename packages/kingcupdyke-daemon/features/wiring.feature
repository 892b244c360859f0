Feature: The gateway and the sidecar use the core as intended

  Scenario Outline: A setting reaches the placement policy <placement>
    Given a gateway's settings with placement <placement> and <name> <value>
    Then its placement policy is created with <name> <value>

    Examples:
      | placement | name          | value |
      | greedy    | store_region  | north |
      | greedy    | loads_per_s   | 2.0   |
      | greedy    | loads_at_once | 6     |
      | greedy    | adapter_knee  | 50    |
      | static    | adapter_knee  | 50    |

  Scenario: Added capacity goes to waiting requests first
    When a request waits at a target of capacity 1 and another comes when it has 3
    Then both are admitted immediately

  Scenario Outline: The budget of cross-region requests is spent only on requests that are sent
    When a call that crosses regions meets <first> and then <second>
    Then it took from the budget <taken> times and refunded it <refunded> times
    And no state of its retries is kept

    Examples:
      | first       | second      | taken | refunded |
      | an answer   | nothing     | 2     | 1        |
      | no endpoint | an answer   | 3     | 2        |
      | no endpoint | no endpoint | 4     | 4        |

  Scenario Outline: A sidecar that requires a token is drained only by an operator
    When a sidecar that requires <required> is drained with <sent>
    Then its stop is <stop>

    Examples:
      | required | sent          | stop    |
      | no token | no token      | begun   |
      | a token  | the token     | begun   |
      | a token  | another token | refused |
      | a token  | no token      | refused |

  Scenario: The head of another request's answer is rejected
    When a call receives the head of a reply to another request
    Then the call rejects the reply and no head is sent

Feature: What the core offers is wired into the gateway

  Scenario Outline: A setting reaches the placement policy <placement>
    Given a gateway's settings with placement <placement> and <name> <value>
    Then its placement policy is made with <name> <value>

    Examples:
      | placement | name          | value |
      | greedy    | store_region  | north |
      | greedy    | loads_per_s   | 2.0   |
      | greedy    | loads_at_once | 6     |
      | greedy    | adapter_knee  | 50    |
      | static    | adapter_knee  | 50    |

  Scenario: Capacity that is added goes to those that wait
    When a request waits at a target of capacity 1 and another comes when it has 3
    Then both are admitted at once

  Scenario Outline: The link's budget is spent only on what is sent
    When a call that crosses regions meets <first> and then <second>
    Then it took the budget <taken> times and gave it back <refunded> times
    And nothing is remembered of its retries

    Examples:
      | first       | second      | taken | refunded |
      | an answer   | nothing     | 2     | 1        |
      | no endpoint | an answer   | 3     | 2        |
      | no endpoint | no endpoint | 4     | 4        |

  Scenario Outline: A sidecar is drained by an operator only, where it asks for a token
    When a sidecar that asks for <asked> is drained with <sent>
    Then its stop is <stop>

    Examples:
      | asked    | sent          | stop    |
      | no token | no token      | begun   |
      | a token  | the token     | begun   |
      | a token  | another token | refused |
      | a token  | no token      | refused |

  Scenario: The head of another request's answer is not taken
    When a call meets the head of a crossed reply
    Then the call drops the reply and has no head

Feature: A few gateways of each region read the store for the others

  Scenario: Changes are the same when decoded
    Then storechanges: a message with changes is the same when decoded
    And storechanges: a state is no valid message with changes

  Scenario Outline: Bytes that are no valid message are rejected: <bytes>
    Then storechanges: "<bytes>" is rejected

    Examples:
      | bytes |
      | x |
      | {} |
      | 1 |
      | {"sender":"a","kind":"k","from_position":1,"position":Infinity,"after_outage":false,"changes":[]} |
      | {"sender":"a","kind":"k","from_position":1,"position":2,"after_outage":false,"changes":[["n"]]} |

  Scenario Outline: Which gateways read: <case>
    When storechanges: the gateways "<gateways>" choose readers
    Then storechanges: all choose the same <count> readers, which are able to read

    Examples:
      | case | gateways | count |
      | a lone gateway reads | a | 1 |
      | all of a few gateways read | a b c d | 4 |
      | two of many | a b c d e f g h | 2 |
      | none that cannot reach the store | a!cut b!cut c d e!cut f g h | 2 |
      | none that is stopping | a!stopping b c d!stopping e!stopping f g h | 2 |

  Scenario: A gateway that cannot reach the store reads if no other can
    When storechanges: the gateways "a!cut b!cut" choose readers
    Then storechanges: each chooses itself

  Scenario Outline: Some readers notice first that an answer was lost: <case>
    When storechanges: the gateways "<gateways>" choose readers
    Then storechanges: all choose the same <count> primary readers, which are among the readers

    Examples:
      | case | gateways | count |
      | a lone gateway | a | 1 |
      | two of a few gateways | a b c d | 2 |
      | two of many | a b c d e f g h | 2 |
      | none that cannot reach the store | a!cut b!cut c d e!cut | 2 |

  Scenario: A message of an earlier release names no last change
    Then storechanges: a message without a last change is decoded with position 0

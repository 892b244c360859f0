Feature: Orders take their time and show what must never be

  Scenario Outline: Adapters load proportionally slower beyond the knee
    Given an engine for order with a knee of 10
    When order loads <adapters> adapters at once
    Then order has taken at least <least> s for the first and <last> s for the last

    Examples: 5 to 15 ms below the knee, 50 to 150 ms for the last of ten times as many
      | adapters | least | last  |
      | 9        | 0.005 | 0.005 |
      | 100      | 0.005 | 0.050 |

  Scenario Outline: An order that cuts off a request is a violation
    Given an engine for order with a knee of 10
    When order is to <kind> while <running> requests of the adapter "a" run
    Then order has noted <violations> violations

    Examples:
      | kind           | running | violations |
      | unload         | 0       | 0          |
      | unload         | 2       | 1          |
      | unload_adapter | 0       | 0          |
      | unload_adapter | 1       | 1          |

  Scenario: A load waits for its turn at the weight store
    Given an engine for order with a weight store of 20 loads a second, the first at once
    When order loads 22 models at once
    Then order has loaded 22 models with 22 fetches in at least 0.08 s

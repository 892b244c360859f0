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

  Scenario Outline: Loads keep to the rate and the speed of the weight store
    Given an engine for order with a store of <per_s> loads a second and full speed <full>
    When order loads <models> models of 500 bytes at once
    Then order has loaded <models> models with as many fetches in at least <least> s

    Examples: the store passes 10000 bytes a second, and the rate of one second at once
      | per_s | full | models | least |
      | 20    | 100  | 22     | 0.08  |
      | 100   | 2    | 1      | 0.05  |
      | 100   | 2    | 2      | 0.05  |
      | 100   | 2    | 4      | 0.10  |

  Scenario Outline: Where copies are kept, a load takes as long as from where the weights are: <loads>
    When order loads the models "<loads>", one after the other, with copies kept on disk for 2 and in memory for 1
    Then order has taken about "<seconds>" s for them and has begun <fetches> fetches from the store

    Examples: 0.3 s from the store, 0.1 s from disk, 0.02 s from memory
      | loads   | seconds          | fetches |
      | a       | 0.3              | 1       |
      | a a     | 0.3 0.02         | 1       |
      | a b a   | 0.3 0.3 0.1      | 2       |
      | a b c a | 0.3 0.3 0.3 0.3  | 4       |

  Scenario: A model that the weight store does not have is not loaded
    Then order fails to load the model "z" with copies, as the weight store has none

Feature: An engine executes orders and records violations

  Scenario Outline: Adapter loads slow down proportionally beyond the saturation point
    Given an engine for order with a saturation point of 10 adapter loads
    When order loads <adapters> adapters concurrently
    Then order has taken at least <least> s for the fastest load and <slowest> s for the slowest

    Examples: 5 to 15 ms up to the saturation point, 50 to 150 ms for the last of ten times as many
      | adapters | least | slowest |
      | 9        | 0.005 | 0.005   |
      | 100      | 0.005 | 0.050   |

  Scenario Outline: Unloading a model or adapter that a request uses is a violation
    Given an engine for order with a saturation point of 10 adapter loads
    When order executes <kind> while <running> requests use the adapter "a"
    Then order has recorded <violations> violations

    Examples:
      | kind           | running | violations |
      | unload         | 0       | 0          |
      | unload         | 2       | 1          |
      | unload_adapter | 0       | 0          |
      | unload_adapter | 1       | 1          |

  Scenario Outline: Loads respect the rate limit and the throughput of the weight store
    Given an engine for order with a weight store of <per_s> loads per second, <full> at full speed
    When order loads <models> models of 500 bytes concurrently
    Then order has loaded <models> models with one fetch each in at least <least> s

    Examples: a transfer at full speed has 10000 bytes per second, a burst the loads of one second
      | per_s | full | models | least |
      | 20    | 100  | 22     | 0.08  |
      | 100   | 2    | 1      | 0.05  |
      | 100   | 2    | 2      | 0.05  |
      | 100   | 2    | 4      | 0.10  |

  Scenario Outline: The load time is that of the fastest source that has the weights: <loads>
    When order loads the models "<loads>" in sequence, with space for 2 copies on disk and 1 in host memory
    Then order has taken about "<seconds>" s for the loads and has started <fetches> loads from the weight store

    Examples: 0.3 s from the weight store, 0.1 s from disk, 0.02 s from host memory
      | loads   | seconds          | fetches |
      | a       | 0.3              | 1       |
      | a a     | 0.3 0.02         | 1       |
      | a b a   | 0.3 0.3 0.1      | 2       |
      | a b c a | 0.3 0.3 0.3 0.3  | 4       |

  Scenario: A load fails if the weight store does not have the model
    Then order fails to load the model "z", which the weight store does not have

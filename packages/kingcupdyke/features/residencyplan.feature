Feature: The planner places requested models and adapters within memory and load rates

  Scenario Outline: <case>
    Given residencyplan: engines "<engines>" of 200 GB with models of "<sizes>" GB
    When residencyplan: "<demand>" is requested
    Then residencyplan: the orders are "<orders>"

    Examples:
      | case | engines | sizes | demand | orders |
      | a model without a replica that a request waits for is loaded where memory is free | e1=m1+e2=m1,m2 | 90 90 90 | m3 1 0 | load m3 e1 |
      | nothing is loaded for a model that has a replica | e1=m1 | 90 90 | m1 3 500 | |
      | a model is loaded only once at a time | e1=m1+e2=m2 | 90 90 90 | m3 3 0 | load m3 e1 |
      | a copy on disk is preferred to a load from the store | e1=m1+e2=m2/m3 | 90 90 90 | m3 1 0 | load m3 e2 |
      | a long load from the store goes where it blocks the fewest loads from local copies | e1=m1/m4+e2=m2 | 60 60 60 60 | m3 1 0 | load m3 e2 |
      | a model without demand is unloaded | e1=m1,m2 | 90 90 90 | m3 1 0; m1 0 800 | unload m2 e1 |
      | a further replica is unloaded before the last one | e1=m1,m2+e2=m2,m4 | 90 90 90 90 | m3 1 0; m1 0 900; m2 0 100; m4 0 900 | unload m2 e1 |
      | a model with more demand is not unloaded | e1=m1,m2 | 90 90 90 | m3 1 0; m1 0 9000; m2 0 9000 | |
      | recent demand is sufficient for a load without waiting requests | e1=m1 | 90 90 | m2 0 400 | load m2 e1 |
      | very little recent demand is not | e1=m1 | 90 90 | m2 0 50 | |
      | an overloaded model gets a further replica | e1=m1+e2=m2 | 90 90 | m1 0 20000 | load m1 e2 |
      | not if a model with demand would be unloaded | e1=m1,m4+e2=m2,m3 | 90 90 90 90 | m1 0 9000; m2 0 6000; m3 0 6000; m4 0 6000 | |
      | nor if the remaining holders would be overloaded by all their models | e1=m1,m4+e2=m1,m3 | 90 90 90 90 | m2 1 3600; m1 0 9000; m3 0 5000; m4 0 9000 | |
      | an adapter is loaded on a holder of its model | e1=m1+e2=m2 | 90 90 | m1+a1 1 100 | load_adapter m1+a1 e1 |
      | on the holder with the fewest adapters | e1=m1:a1:a2+e2=m1:a1 | 90 | m1+a3 1 100 | load_adapter m1+a3 e2 |
      | the idle adapter is unloaded | e1=m1:a1:a2 | 90 | m1+a3 1 100; m1+a1 0 900 | unload_adapter m1+a2 e1 |
      | an adapter with recent demand is loaded without waiting requests | e1=m1 | 90 | m1+a1 0 900 | load_adapter m1+a1 e1 |
      | not into the last slot, which is reserved for adapters with waiting requests | e1=m1:a1 | 90 | m1+a2 0 900 | |
      | not on a holder that has it, if it is the only one | e1=m1:a1 | 90 | m1+a1 0 900 | |
      | an adapter with waiting requests is loaded first | e1=m1 | 90 | m1+a1 0 900; m1+a2 1 0 | load_adapter m1+a2 e1 |
      | a draining engine gets no orders, and its models do not count as replicas | e1=m1!draining+e2=m2 | 90 90 | m1 1 0 | load m1 e2 |
      | a model whose holder has requested a backoff longer than a load is loaded elsewhere | e1=m1!backoff-9+e2=m2 | 90 90 | m1 1 0 | load m1 e2 |
      | not if the backoff is shorter | e1=m1!backoff-2+e2=m2 | 90 90 | m1 1 0 | |
      | not if another holder accepts requests | e1=m1!backoff-9+e2=m1+e3=m2 | 90 90 | m1 1 0 | |
      | an engine in backoff gets no order | e1=m1!backoff-9+e2=m2,m4 | 90 90 90 90 | m3 1 0; m2 0 9000; m4 0 9000 | |
      | a load does not wait for an engine in backoff whose state is unknown | e1=m1!silent-9+e2=m2,m4 | 90 90 90 90 | m3 1 500 | unload m2 e2 |
      | the same for an unreachable engine | e1=m1!unreachable+e2=m2 | 90 90 | m1 1 0 | load m1 e2 |
      | an engine that executes an order gets none | e1=m1!busy | 90 90 | m2 1 0 | |

  Scenario: Two models that need memory at the same time do not unload both replicas of a third
    Given residencyplan: engines "e1=m1,m2+e2=m1,m3" of 200 GB with models of "90 90 90 90 90" GB
    When residencyplan: "m4 1 0; m5 1 0; m1 0 900; m2 0 5000; m3 0 5000" is requested
    Then residencyplan: the orders are "unload m1 e1"

  Scenario: Memory that is being freed for a model is not used for another one
    Given residencyplan: engines "e1=m1" of 100 GB with models of "90 90 90" GB
    When residencyplan: "m2 1 0" is requested
    And residencyplan: the orders are executed
    And residencyplan: "m2 1 0; m3 2 100" is requested
    Then residencyplan: the orders are "load m2 e1"

  Scenario: Memory that is being freed is used for a model with much more demand
    Given residencyplan: engines "e1=m1" of 100 GB with models of "90 90 90" GB
    When residencyplan: "m2 1 0" is requested
    And residencyplan: the orders are executed
    And residencyplan: "m2 1 0; m3 5 9000" is requested
    Then residencyplan: the orders are "load m3 e1"

  Scenario Outline: A model loses its reservation on an engine that <case>
    Given residencyplan: engines "e1=m1+e2=m3" of 100 GB with models of "90 90 90" GB
    When residencyplan: "m2 1 0; m3 0 300" is requested
    And residencyplan: the engine e1 <case>
    And residencyplan: "m2 9 9000; m3 0 300" is requested
    Then residencyplan: the orders are "unload m3 e2"

    Examples:
      | case |
      | is removed |
      | becomes unreachable |
      | is busy for 2 s |

  Scenario Outline: Adapters without demand: <case>
    Given residencyplan: engines "<engines>" of 200 GB with models of "90 90" GB
    And residencyplan: the models have the adapters a1 to a3, and engines 4 slots
    When residencyplan: "<demand>" is requested
    Then residencyplan: the orders are "<orders>"

    Examples:
      | case | engines | demand | orders |
      | they are loaded on holders of a model with demand | e1=m1 | m1 0 900 | load_adapter m1+a1 e1 |
      | not on holders of a model without demand | e1=m1 | m2 0 100 | |
      | first the adapters that no engine has | e1=m1:a1+e2=m1:a2 | m1 0 900 | load_adapter m1+a3 e1; load_adapter m1+a1 e2 |
      | not into the last slot | e1=m1:a1:a2:a3 | m1 0 900 | |

  Scenario Outline: A model with its only local copy on a busy engine: <case>
    Given residencyplan: engines "e1=m1/m3+e2=m2" of 200 GB with models of "90 90 90" GB
    And residencyplan: the engine e1 executes an order for <busy> s more
    When residencyplan: "m3 1 0" is requested
    Then residencyplan: the orders are "<orders>"

    Examples:
      | case | busy | orders |
      | the model waits for the engine, as that is sooner than a load from the store | 2 | |
      | the model is loaded from the store, as that is sooner | 9 | load m3 e2 |
      | the model waits for the engine if the order is slightly late | -0.3 | |
      | the model is loaded from the store if the order is long overdue | -1 | load m3 e2 |

  Scenario: A model with its only local copy on a new engine waits for the engine's first report
    Given residencyplan: engines "e1=m1/m3!new+e2=m2" of 200 GB with models of "90 90 90" GB
    When residencyplan: "m3 1 0" is requested
    Then residencyplan: the orders are ""

  Scenario Outline: A long load from the store keeps engines free that models with high demand may need: <case>
    Given residencyplan: engines "e1=m1/m4+e2=m2+e3=m4" of 200 GB with models of "60 60 60 60" GB
    When residencyplan: "m3 1 0; m4 0 <rate>" is requested
    Then residencyplan: the orders are "<orders>"

    Examples:
      | case | rate | orders |
      | the only other copy of a model with high demand is on the first engine | 6000 | load m3 e2 |

  Scenario: Of the models without demand, the one that was requested least is unloaded
    Given residencyplan: engines "e1=m1,m2" of 200 GB with models of "90 90 90" GB
    When residencyplan: "m1 0 500" is requested
    And residencyplan: "m1 0 500" is requested
    And residencyplan: "m3 1 0" is requested
    Then residencyplan: the orders are "unload m2 e1"

  Scenario: Of the models without demand, the one that was requested least is unloaded, with swapped names
    Given residencyplan: engines "e1=m1,m2" of 200 GB with models of "90 90 90" GB
    When residencyplan: "m2 0 500" is requested
    And residencyplan: "m2 0 500" is requested
    And residencyplan: "m3 1 0" is requested
    Then residencyplan: the orders are "unload m1 e1"

  Scenario Outline: Streams that must continue at one software version: <case>
    Given residencyplan: engines "<engines>" of 200 GB with models of "90 90 90" GB
    And residencyplan: the engines "<others>" run another software version
    When residencyplan: streams of that version wait for "<replicas>"
    Then residencyplan: the orders are "<orders>"

    Examples:
      | case | engines | others | replicas | orders |
      | a model that only the other version holds is loaded | e1=m1+e2=m2+e3=m3 | e2 e3 | m1 1 | load m1 e2 |
      | not if an engine of the version holds it | e1=m1+e2=m1+e3=m3 | e2 e3 | m1 1 | |
      | a model that no engine holds is loaded there | e1=m1+e2=m2 | e2 | m3 1 | load m3 e2 |
      | nothing is loaded if the version has no engine left | e1=m1+e2=m2!draining | e2 | m3 1 | |
      | memory is freed for it | e1=m1+e2=m2,m3 | e2 | m1 1 | unload m2 e2 |
      | its adapter is loaded there as well | e1=m1:a1+e2=m1+e3=m3 | e2 e3 | m1+a1 1 | load_adapter m1+a1 e2 |

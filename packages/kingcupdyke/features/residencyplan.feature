Feature: The planner holds what is asked for, within room and rates

  Scenario Outline: <case>
    Given residencyplan: engines "<engines>" of 200 GB with models of "<sizes>" GB
    When residencyplan: "<demand>" is asked for
    Then residencyplan: the orders are "<orders>"

    Examples:
      | case | engines | sizes | demand | orders |
      | what nobody holds and somebody waits for is loaded where there is room | e1=m1+e2=m1,m2 | 90 90 90 | m3 1 0 | load m3 e1 |
      | nothing is loaded for what is held | e1=m1 | 90 90 | m1 3 500 | |
      | nothing is loaded twice at once | e1=m1+e2=m2 | 90 90 90 | m3 3 0 | load m3 e1 |
      | a copy on disk goes before a fetch from the store | e1=m1+e2=m2/m3 | 90 90 90 | m3 1 0 | load m3 e2 |
      | a long fetch goes where it keeps the fewest other models from their copies | e1=m1/m4+e2=m2 | 60 60 60 60 | m3 1 0 | load m3 e2 |
      | what nobody asks for makes way | e1=m1,m2 | 90 90 90 | m3 1 0; m1 0 800 | unload m2 e1 |
      | a further replica makes way before the last one | e1=m1,m2+e2=m2,m4 | 90 90 90 90 | m3 1 0; m1 0 900; m2 0 100; m4 0 900 | unload m2 e1 |
      | what is asked for more does not make way | e1=m1,m2 | 90 90 90 | m3 1 0; m1 0 9000; m2 0 9000 | |
      | recent demand is enough to load with nobody waiting | e1=m1 | 90 90 | m2 0 400 | load m2 e1 |
      | a trace of it is not | e1=m1 | 90 90 | m2 0 50 | |
      | an overloaded model gets a further replica | e1=m1+e2=m2 | 90 90 | m1 0 20000 | load m1 e2 |
      | not at the cost of what is asked for | e1=m1,m4+e2=m2,m3 | 90 90 90 90 | m1 0 9000; m2 0 6000; m3 0 6000; m4 0 6000 | |
      | nor where the engines that are left would be overloaded by all that they hold | e1=m1,m4+e2=m1,m3 | 90 90 90 90 | m2 1 3600; m1 0 9000; m3 0 5000; m4 0 9000 | |
      | an adapter is loaded where its model is | e1=m1+e2=m2 | 90 90 | m1+a1 1 100 | load_adapter m1+a1 e1 |
      | on the holder with fewest adapters | e1=m1:a1:a2+e2=m1:a1 | 90 | m1+a3 1 100 | load_adapter m1+a3 e2 |
      | the idle adapter makes way | e1=m1:a1:a2 | 90 | m1+a3 1 100; m1+a1 0 900 | unload_adapter m1+a2 e1 |
      | an adapter that was asked for is loaded ahead, though nobody waits | e1=m1 | 90 | m1+a1 0 900 | load_adapter m1+a1 e1 |
      | not where only the last place is left, which is for those that are waited for | e1=m1:a1 | 90 | m1+a2 0 900 | |
      | not twice where it is the only one | e1=m1:a1 | 90 | m1+a1 0 900 | |
      | what is waited for goes first | e1=m1 | 90 | m1+a1 0 900; m1+a2 1 0 | load_adapter m1+a2 e1 |
      | a leaving engine is given nothing, and what it holds does not count | e1=m1!leaving+e2=m2 | 90 90 | m1 1 0 | load m1 e2 |
      | the same for one out of reach | e1=m1!unreachable+e2=m2 | 90 90 | m1 1 0 | load m1 e2 |
      | one that carries out an order is given none | e1=m1!busy | 90 90 | m2 1 0 | |

  Scenario: Two models that need room at once do not unload both replicas of a third
    Given residencyplan: engines "e1=m1,m2+e2=m1,m3" of 200 GB with models of "90 90 90 90 90" GB
    When residencyplan: "m4 1 0; m5 1 0; m1 0 900; m2 0 5000; m3 0 5000" is asked for
    Then residencyplan: the orders are "unload m1 e1"

  Scenario: Room that is being made is not given to another model
    Given residencyplan: engines "e1=m1" of 100 GB with models of "90 90 90" GB
    When residencyplan: "m2 1 0" is asked for
    And residencyplan: the orders are carried out
    And residencyplan: "m2 1 0; m3 2 100" is asked for
    Then residencyplan: the orders are "load m2 e1"

  Scenario: Room that is being made goes to a model that is asked for much more
    Given residencyplan: engines "e1=m1" of 100 GB with models of "90 90 90" GB
    When residencyplan: "m2 1 0" is asked for
    And residencyplan: the orders are carried out
    And residencyplan: "m2 1 0; m3 5 9000" is asked for
    Then residencyplan: the orders are "load m3 e1"

  Scenario Outline: A model is not tied to room on an engine that <case>
    Given residencyplan: engines "e1=m1+e2=m3" of 100 GB with models of "90 90 90" GB
    When residencyplan: "m2 1 0; m3 0 300" is asked for
    And residencyplan: the engine e1 <case>
    And residencyplan: "m2 9 9000; m3 0 300" is asked for
    Then residencyplan: the orders are "unload m3 e2"

    Examples:
      | case |
      | goes |
      | falls silent |
      | is busy for 2 s |

  Scenario Outline: Adapters that nobody has asked for yet: <case>
    Given residencyplan: engines "<engines>" of 200 GB with models of "90 90" GB
    And residencyplan: the models have the adapters a1 to a3, and engines 4 places
    When residencyplan: "<demand>" is asked for
    Then residencyplan: the orders are "<orders>"

    Examples:
      | case | engines | demand | orders |
      | they are loaded ahead where their model is asked for | e1=m1 | m1 0 900 | load_adapter m1+a1 e1 |
      | not where it is not | e1=m1 | m2 0 100 | |
      | first those that no engine has | e1=m1:a1+e2=m1:a2 | m1 0 900 | load_adapter m1+a3 e1; load_adapter m1+a1 e2 |
      | not into the last place | e1=m1:a1:a2:a3 | m1 0 900 | |

  Scenario Outline: A model that is on the disk of an engine that is busy: <case>
    Given residencyplan: engines "e1=m1/m3+e2=m2" of 200 GB with models of "90 90 90" GB
    And residencyplan: the engine e1 carries out an order for <busy> s more
    When residencyplan: "m3 1 0" is asked for
    Then residencyplan: the orders are "<orders>"

    Examples:
      | case | busy | orders |
      | it waits, as that is sooner than a fetch from the store | 2 | |
      | it is fetched, as that is sooner | 9 | load m3 e2 |
      | it waits where the order is a moment late | -0.3 | |
      | it is fetched where the order is long overdue | -1 | load m3 e2 |

  Scenario: A model that is on the disk of an engine that has just come waits for its first report
    Given residencyplan: engines "e1=m1/m3!new+e2=m2" of 200 GB with models of "90 90 90" GB
    When residencyplan: "m3 1 0" is asked for
    Then residencyplan: the orders are ""

  Scenario Outline: A long fetch leaves engines free that busy models may need: <case>
    Given residencyplan: engines "e1=m1/m4+e2=m2+e3=m4" of 200 GB with models of "60 60 60 60" GB
    When residencyplan: "m3 1 0; m4 0 <rate>" is asked for
    Then residencyplan: the orders are "<orders>"

    Examples:
      | case | rate | orders |
      | the only other copy of a busy model is on the first | 6000 | load m3 e2 |

  Scenario: Of models that nobody asks for now, the one that was asked for least makes way
    Given residencyplan: engines "e1=m1,m2" of 200 GB with models of "90 90 90" GB
    When residencyplan: "m1 0 500" is asked for
    And residencyplan: "m1 0 500" is asked for
    And residencyplan: "m3 1 0" is asked for
    Then residencyplan: the orders are "unload m2 e1"

  Scenario: The same with the names the other way round
    Given residencyplan: engines "e1=m1,m2" of 200 GB with models of "90 90 90" GB
    When residencyplan: "m2 0 500" is asked for
    And residencyplan: "m2 0 500" is asked for
    And residencyplan: "m3 1 0" is asked for
    Then residencyplan: the orders are "unload m1 e1"

Feature: Placement keeps what the rules need, gains where demand is, and does not thrash

  Background:
    Given a placement fleet of north/a/e1 north/a/e2 north/b/e3 north/b/e4 south/c/e5 south/c/e6

  Scenario Outline: What the rules need is loaded, spread, and within the store's rate
    Given <placement> placement of <models> models with <replicas> replicas
    When the placement runs <rounds> rounds
    Then placement holds each model on <replicas> endpoints in as many data centres
    And placement began at most 1 load a second and had at most 3 in flight
    And placement never overcommitted nor fell below a rule

    Examples:
      | placement                      | models | replicas | rounds |
      | static loads_at_once=3         | 6      | 2        | 60     |
      | greedy loads_at_once=3         | 6      | 2        | 60     |
      | greedy loads_at_once=3 lean=0  | 4      | 3        | 60     |

  Scenario Outline: A tenfold move of demand is followed, and a swinging one does not thrash
    Given greedy store_region=north <options> placement of 10 models with 1 replicas
    When the placement demand swings tenfold between m0 and m1 every <period> rounds for 600 rounds
    Then placement loaded <least> to <most> times and left <unmet> of the demand at most
    And placement never overcommitted nor fell below a rule

    # Ten of the loads are those that the rules need. Four slots move between m0 and m1, each at
    # most once in the hold time of 120 rounds: 20 loads more at most.
    Examples:
      | options                                   | period | least | most | unmet |
      |                                           | 300    | 14    | 16   | 0.4   |
      |                                           | 20     | 12    | 30   | 0.58  |
      | hold_s=0                                  | 20     | 45    | 99   | 0.65  |
      | hold_s=0 gain_threshold=0 swap_margin=1   | 20     | 45    | 99   | 0.65  |

  Scenario: Demands that are worth the same do not take each other's room
    Given greedy hold_s=0 placement of 10 models with 1 replicas
    And the placement fleet holds e1=m0,m2 e2=m0,m3 e3=m1,m4 e4=m1,m5 e5=m6,m7 e6=m8,m9
    When the placement runs 200 rounds with 9 requests a second for m0 and m1 in north
    Then placement loaded 0 to 0 times

  Scenario: Endpoints are filled evenly
    Given static placement of 6 models with 1 replicas
    When the placement runs 30 rounds
    Then placement holds 1 model on each endpoint

  Scenario: A planner that takes over counts the loads under way
    Given static placement of 6 models with 1 replicas
    When the placement runs 5 rounds and another planner 60 more
    Then placement loaded 6 to 7 times

  Scenario Outline: The planners of the regions share the work and the store's rate without a message
    Given static placement of <models> models with 1 replicas
    And the placement regions <regions> have a planner each
    When the placement runs <rounds> rounds with 9 requests a second for m0 and m1 in north
    Then placement holds each of <models> models on at least one endpoint
    And placement never overcommitted nor fell below a rule
    And placement loaded <models> to <most> times, at most <burst> in any 4 rounds

    # Without the other region's planner, a model waits for it a minute and is then taken over.
    Examples:
      | regions     | models | rounds | most | burst |
      | north,south | 10     | 60     | 11   | 6     |
      | north       | 6      | 100    | 6    | 3     |

  Scenario: Planners that each know their own region's demand do not wait for each other
    Given static placement of 7 models with 1 replicas
    And the placement fleet holds e1=m0 e2=m1 e3=m2 e4=m3 e5=m4 e6=m5
    And the placement regions north,south have a planner each
    When the placement runs 20 rounds with 9 requests a second for m0 and m1 and m2 and m3 in north, m4 and m5 in south
    Then placement loaded 1 to 1 times

  Scenario Outline: Moves are weighed against attainment
    Given greedy store_region=north <options> placement of 2 models with 1 replicas
    When the placement runs 60 rounds with <demand> requests a second for m0 in <region>
    Then placement loaded <loads> times, <crossings> of them across the link

    Examples:
      | options                         | demand | region | loads | crossings |
      | lean=0                          | 9      | north  | 2     | 0         |
      | lean=1                          | 9      | north  | 6     | 1         |
      | lean=0.5 gain_threshold=1e8     | 9      | north  | 5     | 0         |
      | lean=0.5 gain_threshold=3e9     | 9      | north  | 2     | 0         |
      | lean=1 loads_per_s=5            | 3      | north  | 3     | 0         |
      | lean=0.5 gain_threshold=1e8     | 1      | south  | 2     | 0         |
      | lean=0.5 gain_threshold=1e6     | 1      | south  | 3     | 1         |

  Scenario: Of two loads of one model across the link the second waits for a local copy
    Given greedy store_region=north lean=1 placement of 1 models with 1 replicas
    When the placement runs 60 rounds with 9 requests a second for m0 in south
    Then placement holds m0 on 2 endpoints in south and crossed the link once for it

  Scenario Outline: Room is made only where it is needed and beyond the rules
    Given <placement> placement of 3 models with <replicas> replicas
    And the placement fleet holds <held>
    When the placement runs 90 rounds with 9 requests a second for m0 in north
    Then placement unloaded <unloads> times
    And placement never overcommitted nor fell below a rule

    # Each endpoint has room for two models.
    Examples:
      | placement     | replicas | held                                          | unloads |
      | static        | 1        | e1=m0,m1                                      | 0       |
      | static        | 1        | e1=m0,m1 e2=m0,m1 e3=m0,m1 e4=m0,m1 e5=m0,m1 e6=m0,m1 | 1 |
      | greedy lean=1 | 2        | e1=m1,m2 e2=m1,m2                             | 0       |
      | greedy lean=1 | 1        | e1=m0,m1 e2=m1,m2 e3=m1,m2 e4=m1,m2 e5=m1,m2 e6=m1,m2 | 4 |

  Scenario: A leaving endpoint's models are replaced, and it gets none
    Given static placement of 2 models with 1 replicas
    And the placement fleet holds e1=m0,m1
    When placement endpoint e1 leaves and 20 rounds run
    Then placement holds m0 and m1 on one staying endpoint each and ordered nothing of e1

  Scenario Outline: What the rules need takes the room of held replicas and second copies
    Given a placement fleet of <fleet>
    And greedy lean=1 placement of <models> models with <replicas> replicas and <adapters> adapters
    When the placement runs 40 rounds with 9 requests a second for m0 in north
    And placement endpoint e1 leaves and 60 rounds run
    Then placement holds each model on <replicas> staying endpoints and each adapter on one at least
    And placement never overcommitted nor fell below a rule

    Examples:
      | fleet                            | models | replicas | adapters |
      | north/a/e1 north/a/e2 north/b/e3 north/b/e4 north/c/e5 north/c/e6 | 10 | 1 | 0 |
      | north/a/e1 north/b/e2 north/c/e3 | 11     | 1        | 1        |
      | north/a/e1 north/b/e2 north/c/e3 | 4      | 2        | 30       |

  Scenario Outline: Adapters are put on the holders of their model, below the knee
    Given static adapter_knee=<knee> placement of 6 models with 2 replicas and 60 adapters
    And the placement fleet holds e1=m0,m1 e2=m2,m3 e3=m4,m5 e4=m0,m1 e5=m2,m3 e6=m4,m5
    When the placement runs 120 rounds
    Then placement holds each adapter on 2 holders of its model
    And placement had over <some> and under <knee> adapter loads in flight, at most <share> at one endpoint

    Examples:
      | knee | some | share |
      | 40   | 35   | 6     |
      | 8    | 5    | 1     |
      | 4    | 2    | 1     |

  Scenario Outline: A full memory takes what the rules need, models before adapters
    Given a placement fleet of north/a/e1 north/a/e2
    And static loads_per_s=0.2 placement of <models> models with <replicas> replicas and <adapters> adapters
    And the placement fleet holds <held>
    When the placement runs 120 rounds
    Then placement holds <resident> models and <copies> copies of adapters after <unloads> unloads
    And placement never overcommitted nor fell below a rule

    # Each endpoint has room for 60 bytes: a model takes 10, an adapter one.
    Examples: models move for adapters, and adapters that do not fit are left out
      | models | replicas | adapters | held                                    | resident | copies | unloads |
      | 6      | 1        | 70       | e1=m0,m1,m2,m3,m4,m5                    | 6        | 60     | 3       |
      | 6      | 1        | 6        | e1=m0,m1,m2,m3,m4,m5                    | 6        | 6      | 1       |
      | 4      | 1        | 50       | e1=m0,m1,m2,m3                          | 4        | 50     | 2       |

    Examples: a replica beyond the rules makes room for adapters, and for a model
      | models | replicas | adapters | held                                    | resident | copies | unloads |
      | 6      | 1        | 6        | e1=m0,m1,m2,m3,m4,m5 e2=m1              | 6        | 6      | 1       |
      | 8      | 1        | 8        | e1=m0,m1,m2,m3,m4,m5 e2=m1,m2,m3,m4,m5  | 8        | 8      | 3       |
      | 8      | 1        | 40       | e1=m0,m1,m2,m3,m4,m5 e2=m1,m2,m3,m4,m5  | 8        | 40     | 5       |

  Scenario: Lost orders are proposed again
    Given static placement of 6 models with 2 replicas
    When the placement runs 200 rounds that lose 4 in 10 orders
    Then placement holds each model on 2 endpoints in as many data centres
    And placement never overcommitted nor fell below a rule

  Scenario Outline: Shares of adapter loads stay below the knee without messages
    Then placement shares of <endpoints> endpoints add up to <least> to <most> below a knee of <knee>

    Examples:
      | endpoints | knee | least | most |
      | 5         | 50   | 45    | 49   |
      | 49        | 50   | 49    | 49   |
      | 5500      | 50   | 48    | 49   |

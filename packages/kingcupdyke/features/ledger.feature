Feature: Accelerator memory is never overcommitted

  Scenario Outline: An engine that ignores fencing numbers, <fault>
    Given ledger: an engine of 100 bytes with a role of 10 that ignores fencing numbers
    When ledger: "<events>" happens
    Then ledger: <free> bytes are free, <pending> is pending and <models> is resident

    Examples:
      | fault | events | free | pending | models |
      | two planners | order L load a 50; refuse M load b 50 | 40 | L | - |
      | order repeated | order L load a 50; order L load a 50 | 40 | L | - |
      | id used for another order | order L load a 50; refuse L load b 50 | 40 | L | - |
      | size below zero | refuse L load a -5; nokv r -5 | 90 | - | - |
      | load and unload | go L load a 60; go A load_adapter x 5; go U unload a | 85 | - | - |
      | unload unanswered | go L load a 60; order U unload a; send U; close U; refuse M load b 40 | 30 | U | - |
      | load failed | order L load a 60; send L; arrive L; answer L running; fail L; answer L | 90 | - | - |
      | order lost, lifetime not over | order L load a 40; send L; lose L; close L; wait 9; read; read | 50 | L | - |
      | order lost, reading asked too early | order L load a 40; send L; lose L; close L; wait 9; read; wait 2; read | 50 | L | - |
      | order lost, lifetime over | order L load a 40; send L; lose L; close L; wait 11; read; read | 90 | - | - |
      | lost, then sent again | order L load a 60; send L; close L; wait 9; order L load a 60; send L; wait 5; read; read; refuse M load b 40; arrive L; end L | 30 | L | - |
      | order late, sender dead | order L load a 60; send L; successor; refuse M load b 40; arrive L; end L; wait 11; read; read | 30 | - | a |
      | answer lost | order L load a 40; send L; arrive L; end L; close L; read | 50 | L | a |
      | answer lost, lifetime over | order L load a 40; send L; arrive L; end L; close L; wait 11; read; read | 50 | - | a |
      | answer lost, order runs long | order L load a 40; send L; arrive L; close L; wait 30; read; read | 50 | L | - |
      | answer lost, unloaded since | order L load a 40; send L; arrive L; end L; close L; read; go U unload a; order K load k 5; wait 11; read; read | 85 | K | - |
      | answer to an unload lost | go L load a 60; order U unload a; send U; arrive U; end U; close U; wait 11; order K load k 5; read; read | 85 | K | - |
      | killed between intent and order | order L load a 60; successor; wait 30; read; read; refuse M load b 40 | 30 | L | - |
      | killed, its order id ended | order L load a 60; successor; consume L; read; wait 11; read; read | 90 | - | - |
      | killed before an unload | go L load a 40; order U unload a; successor | 50 | U | - |
      | paused, wakes after its successor | order L load a 60; successor; wait 30; read; read; refuse M load b 40; wake L; arrive L; end L; wait 11; read; read | 30 | - | a |
      | paused, wakes to order more | successor; stale L load a 60; order M load b 60 | 30 | M | - |
      | paused, engine restarts | order L load a 60; successor; restart; read; read; refuse M load b 40; wake L; arrive L; end L | 30 | L | - |
      | role change half way | order R role - 40; send R; arrive R; refuse L load a 61; order M load b 60 | 0 | R,M | - |
      | role change lost | order R role - 40; send R; close R; read; read; refuse L load a 61 | 60 | R | - |
      | role made smaller | go R role - 40; go Q role - 10; refuse L load a 61; read; read | 90 | - | - |
      | answers of two role changes cross | order R role - 40; order Q role - 10; send Q; arrive Q; end Q; send R; arrive R; end R; answer R; answer Q | 60 | - | - |
      | role change shown late | order R role - 40; send R; arrive R; end R; close R; order K load k 5; wait 11; read; read; order L load a 55 | 0 | K,L | - |
      | KV import during a load | order L load a 60; send L; arrive L; kv r 30; nokv s 1; read; end L; answer L; endkv r; read; read | 30 | - | a |
      | KV import repeated | kv r 30; kv r 30; nokv r 91; order L load a 60 | 0 | L | - |
      | engine restarted | go L load a 50; order M load b 20; send M; arrive M; read; close M; restart; read; read | 90 | - | - |
      | engine restarted before the order was sent | restart; order M load b 60; send M; close M; read; read; refuse N load c 40; arrive M; end M; read | 30 | M | b |
      | engine restarted, answer to come | order M load b 60; read; restart; read; read; send M; refuse N load c 40; arrive M; end M; read | 30 | M | b |
      | reading older than an answer | order L load a 60; send L; arrive L; take; end L; answer L; hand; refuse M load b 40 | 30 | - | a |
      | reading older than an unload | go L load a 60; take; go U unload a; hand | 30 | - | - |
      | reading after an unload | go L load a 60; take; go U unload a; hand; read | 90 | - | - |
      | answers of load and unload cross | go L load a 40; order U unload a; order M load a 50; send U; arrive U; end U; send M; arrive M; end M; answer M; answer U | 0 | - | a |
      | unload repeated after a new load | go L load a 40; go U unload a; go M load a 40; order U unload a; send U; arrive U; answer U; refuse N load c 60 | 50 | - | a |
      | unload repeated to a new sidecar | go L load a 40; go U unload a; go M load a 40; successor; order U unload a; send U; arrive U; answer U; refuse N load c 60 | 50 | M | a |
      | load repeated after its unload | go L load a 40; go U unload a; order L load a 40; send L; arrive L; answer L | 50 | - | - |
      | unknown model appears | sneak b 30; order L load a 50; send L; read; refuse M load c 11 | 10 | L | b |
      | unknown use beside a lost order | order L load a 50; send L; sneak b 30; kv r 1; read; nokv s 10 | 9 | L | b |
      | model vanishes during an order | go L load a 30; order M load b 20; vanish a; read; read | 40 | M | - |
      | model vanishes | go L load a 30; vanish a; read; read | 90 | - | - |

  Scenario Outline: An engine that checks fencing numbers, <fault>
    Given ledger: an engine of 100 bytes with a role of 10 that checks fencing numbers
    When ledger: "<events>" happens
    Then ledger: <free> bytes are free, <pending> is pending and <models> is resident

    Examples:
      | fault | events | free | pending | models |
      | paused, wakes after its successor | order L load a 60; successor; order M load b 60; wake L; arrive L; send M; arrive M; end M; answer M | 30 | - | b |
      | paused, wakes after an engine restart | order L load a 60; successor; read; order M load b 60; send M; arrive M; wake L; arrive L | 30 | M | - |

  Scenario: A takeover waits while an order of unknown size runs
    Given ledger: an engine that takes memory only at the end of a load and checks fencing numbers
    When ledger: "order L load a 60; send L; arrive L; nosuccessor; end L; successor; refuse M load b 40" happens
    Then ledger: 30 bytes are free, - is pending and a is resident

  Scenario: Intents are kept until their order is settled
    Given ledger: an engine of 100 bytes with a role of 10 that ignores fencing numbers
    When ledger: "order L load a 10; order M load b 10; send M; arrive M; end M; answer M" happens
    Then ledger: the intents of M may be removed, once

  Scenario: An order that its dead sender never sent is named
    Given ledger: an engine of 100 bytes with a role of 10 that ignores fencing numbers
    When ledger: "order L load a 10; successor; read" happens
    Then ledger: L is pending and no inventory has shown it

  Scenario Outline: Nothing is given out before the first inventory, nor above the smaller capacity
    When ledger: a new one of <capacity> bytes with a margin of <margin> reads <reported> bytes
    Then ledger: a load of <fits> bytes fits and one of <exceeds> does not

    Examples:
      | capacity | margin | reported | fits | exceeds |
      | 100      | 0      | 100      | 90   | 91      |
      | 100      | 5      | 100      | 85   | 86      |
      | 100      | 0      | 80       | 70   | 71      |
      | 80       | 0      | 100      | 70   | 71      |

  Scenario: Random orders, faults, restarts and takeovers
    Then ledger: no random order of events overcommits the engine

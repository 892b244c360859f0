Feature: Accelerator memory is never overcommitted

  Scenario Outline: An engine that <engine>, <fault>
    When ledger: "<events>" happens to an engine of 100 bytes with a role of 10 that <engine>
    Then ledger: <free> bytes are free, <pending> is pending and <models> is resident

    Examples:
      | engine | fault | events | free | pending | models |
      | ignores | two planners | order L load a 50; refuse M load b 50 | 40 | L | - |
      | ignores | order repeated | order L load a 50; order L load a 50 | 40 | L | - |
      | ignores | id used for another order | order L load a 50; refuse L load b 50 | 40 | L | - |
      | ignores | size below zero | refuse L load a -5; nokv r -5 | 90 | - | - |
      | ignores | load and unload | go L load a 60; go A load_adapter x 5; go U unload a | 85 | - | - |
      | ignores | unload unanswered | go L load a 60; order U unload a; send U; close U; refuse M load b 40 | 30 | U | - |
      | ignores | load failed | order L load a 60; send L; arrive L; fail L; answer L | 90 | - | - |
      | ignores | load still running | order L load a 60; send L; arrive L; answer L running; refuse M load b 40 | 30 | L | - |
      | ignores | order lost, lifetime not over | order L load a 40; send L; lose L; close L; wait 9; read; read | 50 | L | - |
      | ignores | order lost, reading asked too early | order L load a 40; send L; lose L; close L; wait 9; read; wait 2; read | 50 | L | - |
      | ignores | order lost, lifetime over | order L load a 40; send L; lose L; close L; wait 11; read; read | 90 | - | - |
      | ignores | lost, then sent again | order L load a 60; send L; close L; wait 9; order L load a 60; send L; close L; wait 5; read; read; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | order late, sender dead | order L load a 60; send L; successor; refuse M load b 40; arrive L; end L; wait 11; read; read | 30 | - | a |
      | ignores | answer lost | order L load a 40; send L; arrive L; end L; close L; read | 50 | L | a |
      | ignores | answer lost, lifetime over | order L load a 40; send L; arrive L; end L; close L; wait 11; read; read | 50 | - | a |
      | ignores | answer lost, order runs long | order L load a 40; send L; arrive L; close L; wait 30; read; read | 50 | L | - |
      | ignores | answer lost, unloaded since | order L load a 40; send L; arrive L; end L; close L; read; go U unload a; order K load k 5; wait 11; read; read | 85 | K | - |
      | ignores | answer to an unload lost | go L load a 60; order U unload a; send U; arrive U; end U; close U; wait 11; order K load k 5; read; read | 85 | K | - |
      | ignores | killed between intent and order | order L load a 60; successor; wait 30; read; read; refuse M load b 40 | 30 | L | - |
      | ignores | killed, its order id ended | order L load a 60; successor; consume L; read; wait 11; read; read | 90 | - | - |
      | ignores | killed, the use of its order id is answered | order L load a 60; successor; consume L; answer L | 30 | - | - |
      | ignores | killed, the use of its order id is answered, then read | order L load a 60; successor; consume L; answer L; read; read | 90 | - | - |
      | ignores | killed before an unload, the use of its order id is answered | go L load a 40; order U unload a; successor; consume U; answer U; refuse M load b 60 | 50 | - | a |
      | ignores | killed before an unload | go L load a 40; order U unload a; successor | 50 | U | - |
      | ignores | paused, wakes after its successor | order L load a 60; successor; wait 30; read; read; refuse M load b 40; wake L; arrive L; end L; wait 11; read; read | 30 | - | a |
      | ignores | paused, wakes to order more | successor; stale L load a 60; order M load b 60 | 30 | M | - |
      | ignores | paused, engine restarts | order L load a 60; successor; restart; read; read; refuse M load b 40; wake L; arrive L; end L | 30 | L | - |
      | ignores | role change half way | order R role - 40; send R; arrive R; refuse L load a 61; order M load b 60 | 0 | R,M | - |
      | ignores | role change lost | order R role - 40; send R; close R; read; read; refuse L load a 61 | 60 | R | - |
      | ignores | role made smaller | go R role - 40; go Q role - 10; refuse L load a 61; read; read | 90 | - | - |
      | ignores | answers of two role changes cross | order R role - 40; order Q role - 10; send Q; arrive Q; end Q; send R; arrive R; end R; answer R; answer Q | 60 | - | - |
      | ignores | role change shown late | order R role - 40; send R; arrive R; end R; close R; order K load k 5; wait 11; read; read; order L load a 55 | 0 | K,L | - |
      | ignores | KV import during a load | order L load a 60; send L; arrive L; kv r 30; nokv s 1; read; end L; answer L; endkv r; read; read | 30 | - | a |
      | lazy | role change shown late beside a load | order R role - 40; send R; arrive R; end R; close R; wait 11; order L load a 40; send L; arrive L; read; read; refuse M load b 30 | 20 | L | - |
      | ignores | role lost by an engine restart | go R role - 40; read; read; restart; order K load k 1; read; order Q role - 40; refuse L load a 60 | 49 | K,Q | - |
      | ignores | role change beside KV of the sidecar before | kv r 30; successor; order Q role - 40; refuse L load a 31 | 30 | Q | - |
      | ignores | KV import repeated | kv r 50; kv r 50; nokv r 91; order L load a 40 | 0 | L | - |
      | ignores | engine restarted | go L load a 50; order M load b 20; send M; arrive M; read; close M; restart; read; read | 90 | - | - |
      | ignores | engine restarted before the order was sent | restart; order M load b 60; send M; close M; read; read; refuse N load c 40; arrive M; end M; read | 30 | M | b |
      | ignores | engine restarted, order lost before | order M load b 20; send M; lose M; close M; read; read; restart; read | 90 | - | - |
      | ignores | load failed, answer lost | order L load a 40; send L; arrive L; fail L; close L; order K load k 5; wait 11; read; read | 85 | K | - |
      | ignores | engine restarted, reading older than an answer | order L load a 60; restart; take; send L; arrive L; end L; answer L; hand; refuse M load b 40 | 30 | - | - |
      | ignores | engine restarted, model lost, reading older than an answer | go K load b 20; order L load a 60; restart; take; send L; arrive L; end L; answer L; hand; read | 30 | - | a |
      | ignores | engine restarted, reading older than the closing | take; order L load a 60; restart; send L; close L; hand; read; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted, order sent again | order L load a 60; send L; arrive L; read; close L; restart; order L load a 60; send L; read; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted, reading older than the repeat | order L load a 60; send L; arrive L; read; close L; take; restart; order L load a 60; send L; hand; read; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted between a repeat and its sending | order L load a 60; send L; lose L; close L; order L load a 60; read; read; restart; send L; read; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted between a repeat and its sending, order had begun | order L load a 60; send L; arrive L; close L; order L load a 60; read; read; restart; send L; read; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted, done order sent again | order L load a 60; send L; arrive L; end L; close L; read; restart; order L load a 60; send L; read; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted, answer to come | order M load b 60; read; restart; read; read; send M; refuse N load c 40; arrive M; end M; read | 30 | M | b |
      | ignores | reading older than an answer | order L load a 60; send L; arrive L; take; end L; answer L; hand; refuse M load b 40 | 30 | - | a |
      | ignores | reading older than an unload | go L load a 60; take; go U unload a; hand | 30 | - | - |
      | ignores | reading after an unload | go L load a 60; take; go U unload a; hand; read | 90 | - | - |
      | ignores | answers of load and unload cross | go L load a 40; order U unload a; order M load a 50; send U; arrive U; end U; send M; arrive M; end M; answer M; answer U | 0 | - | a |
      | ignores | unload repeated after a new load | go L load a 40; go U unload a; go M load a 40; order U unload a; send U; arrive U; answer U; refuse N load c 60 | 50 | - | a |
      | ignores | unload repeated to a new sidecar | go L load a 40; go U unload a; go M load a 40; successor; order U unload a; send U; arrive U; answer U; refuse N load c 60 | 50 | M | a |
      | ignores | load repeated after its unload | go L load a 40; go U unload a; order L load a 40; send L; arrive L; answer L | 50 | - | - |
      | ignores | unknown model appears | sneak b 30; order L load a 50; send L; read; refuse M load c 11 | 10 | L | b |
      | ignores | unknown use without a name beside a lost order | order L load a 50; send L; leak 30; read; refuse M load c 11 | 10 | L | - |
      | ignores | unknown use beside a failed order | order L load a 50; send L; arrive L; fail L; close L; leak 30; read; refuse M load c 11 | 10 | L | - |
      | ignores | unknown use beside a lost order | order L load a 50; send L; sneak b 30; kv r 1; read; nokv s 10 | 9 | L | b |
      | ignores | model vanishes during an order | go L load a 30; order M load b 20; vanish a; read; read | 40 | M | - |
      | ignores | model vanishes | go L load a 30; vanish a; read; read | 90 | - | - |
      | ignores | the store is down | down; refuse L load a 60; up; order M load a 60 | 30 | M | - |
      | checks | the store is down | down; order L load a 60; send L; arrive L; end L; answer L | 30 | - | a |
      | checks | the answer to the intent is lost, sender dead | losestore; order L load a 60; successor; refuse M load b 40; wake L; arrive L | 30 | L | - |
      | checks | unrecorded order, wakes after its successor | down; order L load a 60; up; successor; order M load b 60; wake L; arrive L; send M; arrive M; end M; answer M | 30 | - | b |
      | checks | paused, wakes after its successor | order L load a 60; successor; refuse M load b 40; wake L; arrive L | 30 | L | - |
      | checks | paused, wakes after an engine restart | order L load a 60; successor; restart; read; read; refuse M load b 40; wake L; arrive L; end L; wait 11; read; read; read | 30 | - | a |
      | checks | paused, wakes to order more after an engine restart | successor; restart; stale L load a 60; order M load b 60 | 30 | M | - |

  Scenario: A takeover waits while an order of unknown size runs
    When ledger: "down; order L load a 60; send L; arrive L; up; nosuccessor; end L; successor; refuse M load b 40" happens to an engine of 100 bytes with a role of 10 that checks lazily
    Then ledger: 30 bytes are free, - is pending and a is resident

  Scenario: Intents are kept until their order is settled
    When ledger: "order L load a 10; order M load b 10; send M; arrive M; end M; answer M" happens to an engine of 100 bytes with a role of 10 that ignores
    Then ledger: the intents of M may be removed, once

  Scenario: An order that its dead sender never sent is named
    When ledger: "order L load a 10; successor; read" happens to an engine of 100 bytes with a role of 10 that ignores
    Then ledger: L is pending and no inventory has shown it

  Scenario Outline: Nothing is given out before the first inventory, nor above the smaller capacity
    When ledger: a new one of <capacity> bytes, with <margin> kept back, reads <reported>
    Then ledger: a load of <fits> bytes fits and one of <exceeds> does not

    Examples:
      | ignores | capacity | margin | reported | fits | exceeds |
      | ignores | 100      | 0      | 100      | 90   | 91      |
      | ignores | 100      | 5      | 100      | 85   | 86      |
      | ignores | 100      | 0      | 80       | 70   | 71      |
      | ignores | 80       | 0      | 100      | 70   | 71      |

  Scenario: Random orders, faults, restarts and takeovers
    Then ledger: no random order of events overcommits the engine

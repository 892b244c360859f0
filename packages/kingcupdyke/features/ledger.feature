Feature: Accelerator memory is never overcommitted

  # The events are methods of LedgerScript in ledger_steps.py. An engine that "checks" rejects old
  # fencing numbers, one that "ignores" accepts them.

  Scenario Outline: An engine that <engine> fencing numbers, <fault>
    When ledger: "<events>" happens to an engine of 100 bytes with a role of 10 that <engine>
    Then ledger: <free> bytes are free, <pending> is pending and <models> is resident

    Examples:
      | engine | fault | events | free | pending | models |
      | ignores | orders of two planners | order L load a 50; refuse M load b 50 | 40 | L | - |
      | ignores | duplicate order | order L load a 50; order L load a 50 | 40 | L | - |
      | ignores | id of another order | order L load a 50; refuse L load b 50 | 40 | L | - |
      | ignores | negative size | refuse L load a -5; refuse_kv r -5 | 90 | - | - |
      | ignores | load and unload | complete L load a 60; complete A load_adapter x 5; complete U unload a | 85 | - | - |
      | ignores | unload unanswered | complete L load a 60; order U unload a; send U; close U; refuse M load b 40 | 30 | U | - |
      | ignores | load failed | order L load a 60; send L; arrive L; fail L; answer L | 90 | - | - |
      | ignores | load still running | order L load a 60; send L; arrive L; answer L running; refuse M load b 40 | 30 | L | - |
      | ignores | order lost, lifetime not over | order L load a 40; send L; lose L; close L; wait 9; poll; poll | 50 | L | - |
      | ignores | order lost, inventory requested too early | order L load a 40; send L; lose L; close L; wait 9; poll; wait 2; poll | 50 | L | - |
      | ignores | order lost, lifetime over | order L load a 40; send L; lose L; close L; wait 11; poll; poll | 90 | - | - |
      | ignores | lost, then sent again | order L load a 60; send L; close L; wait 9; order L load a 60; send L; close L; wait 5; poll; poll; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | order delayed, sender killed | order L load a 60; send L; successor; refuse M load b 40; arrive L; end L; wait 11; poll; poll | 30 | - | a |
      | ignores | answer lost | order L load a 40; send L; arrive L; end L; close L; poll | 50 | L | a |
      | ignores | answer lost, lifetime over | order L load a 40; send L; arrive L; end L; close L; wait 11; poll; poll | 50 | - | a |
      | ignores | answer lost, order runs long | order L load a 40; send L; arrive L; close L; wait 30; poll; poll | 50 | L | - |
      | ignores | answer lost, unloaded since | order L load a 40; send L; arrive L; end L; close L; poll; complete U unload a; order K load k 5; wait 11; poll; poll | 85 | K | - |
      | ignores | answer to an unload lost | complete L load a 60; order U unload a; send U; arrive U; end U; close U; wait 11; order K load k 5; poll; poll | 85 | K | - |
      | ignores | killed between intent and order | order L load a 60; successor; wait 30; poll; poll; refuse M load b 40 | 30 | L | - |
      | ignores | killed, its order id is used | order L load a 60; successor; use_id L; poll; wait 11; poll; poll | 90 | - | - |
      | ignores | killed, the use of its order id is answered | order L load a 60; successor; use_id L; answer L | 30 | - | - |
      | ignores | killed, the use of its order id is answered, then polled | order L load a 60; successor; use_id L; answer L; poll; poll | 90 | - | - |
      | ignores | killed before an unload, the use of its order id is answered | complete L load a 40; order U unload a; successor; use_id U; answer U; refuse M load b 60 | 50 | - | a |
      | ignores | killed before an unload | complete L load a 40; order U unload a; successor | 50 | U | - |
      | ignores | paused, wakes after its successor | order L load a 60; successor; wait 30; poll; poll; refuse M load b 40; wake L; arrive L; end L; wait 11; poll; poll | 30 | - | a |
      | ignores | paused, wakes to order more | successor; refuse_stale L load a 60; order M load b 60 | 30 | M | - |
      | ignores | paused, engine restarts | order L load a 60; successor; restart; poll; poll; refuse M load b 40; wake L; arrive L; end L | 30 | L | - |
      | ignores | role change in progress | order R role - 40; send R; arrive R; refuse L load a 61; order M load b 60 | 0 | R,M | - |
      | ignores | role change lost | order R role - 40; send R; close R; poll; poll; refuse L load a 61 | 60 | R | - |
      | ignores | role made smaller | complete R role - 40; complete Q role - 10; refuse L load a 61; poll; poll | 90 | - | - |
      | ignores | answers to two role changes reordered | order R role - 40; order Q role - 10; send Q; arrive Q; end Q; send R; arrive R; end R; answer R; answer Q | 60 | - | - |
      | ignores | role change shown late | order R role - 40; send R; arrive R; end R; close R; order K load k 5; wait 11; poll; poll; order L load a 55 | 0 | K,L | - |
      | ignores | KV import during a load | order L load a 60; send L; arrive L; import_kv r 30; refuse_kv s 1; poll; end L; answer L; end_kv r; poll; poll | 30 | - | a |
      | lazily ignores | role change shown late beside a load | order R role - 40; send R; arrive R; end R; close R; wait 11; order L load a 40; send L; arrive L; poll; poll; refuse M load b 30 | 20 | L | - |
      | ignores | role lost by an engine restart | complete R role - 40; poll; poll; restart; order K load k 1; poll; order Q role - 40; refuse L load a 60 | 49 | K,Q | - |
      | ignores | role change beside KV imported by the earlier sidecar | import_kv r 30; successor; order Q role - 40; refuse L load a 31 | 30 | Q | - |
      | ignores | KV import repeated | import_kv r 50; import_kv r 50; refuse_kv r 91; order L load a 40 | 0 | L | - |
      | ignores | engine restarted | complete L load a 50; order M load b 20; send M; arrive M; poll; close M; restart; poll; poll | 90 | - | - |
      | ignores | engine restarted before the order was sent | restart; order M load b 60; send M; close M; poll; poll; refuse N load c 40; arrive M; end M; poll | 30 | M | b |
      | ignores | engine restarted, order lost before | order M load b 20; send M; lose M; close M; poll; poll; restart; poll | 90 | - | - |
      | ignores | load failed, answer lost | order L load a 40; send L; arrive L; fail L; close L; order K load k 5; wait 11; poll; poll | 85 | K | - |
      | ignores | engine restarted, inventory older than an answer | order L load a 60; restart; request_inventory; send L; arrive L; end L; answer L; receive_inventory; refuse M load b 40 | 30 | - | - |
      | ignores | engine restarted, model lost, inventory older than an answer | complete K load b 20; order L load a 60; restart; request_inventory; send L; arrive L; end L; answer L; receive_inventory; poll | 30 | - | a |
      | ignores | engine restarted, inventory older than the closed connection | request_inventory; order L load a 60; restart; send L; close L; receive_inventory; poll; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted, order sent again | order L load a 60; send L; arrive L; poll; close L; restart; order L load a 60; send L; poll; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted, inventory older than the resent order | order L load a 60; send L; arrive L; poll; close L; request_inventory; restart; order L load a 60; send L; receive_inventory; poll; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted before an order is sent again | order L load a 60; send L; lose L; close L; order L load a 60; poll; poll; restart; send L; poll; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted before an order is sent again, order had started | order L load a 60; send L; arrive L; close L; order L load a 60; poll; poll; restart; send L; poll; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted, done order sent again | order L load a 60; send L; arrive L; end L; close L; poll; restart; order L load a 60; send L; poll; refuse M load b 40; arrive L; end L | 30 | L | - |
      | ignores | engine restarted, answer pending | order M load b 60; poll; restart; poll; poll; send M; refuse N load c 40; arrive M; end M; poll | 30 | M | b |
      | ignores | inventory older than an answer | order L load a 60; send L; arrive L; request_inventory; end L; answer L; receive_inventory; refuse M load b 40 | 30 | - | a |
      | ignores | inventory older than an unload | complete L load a 60; request_inventory; complete U unload a; receive_inventory | 30 | - | - |
      | ignores | inventory after an unload | complete L load a 60; request_inventory; complete U unload a; receive_inventory; poll | 90 | - | - |
      | ignores | answers to load and unload reordered | complete L load a 40; order U unload a; order M load a 50; send U; arrive U; end U; send M; arrive M; end M; answer M; answer U | 0 | - | a |
      | ignores | unload sent again after a new load | complete L load a 40; complete U unload a; complete M load a 40; order U unload a; send U; arrive U; answer U; refuse N load c 60 | 50 | - | a |
      | ignores | unload sent again by a new sidecar | complete L load a 40; complete U unload a; complete M load a 40; successor; order U unload a; send U; arrive U; answer U; refuse N load c 60 | 50 | M | a |
      | ignores | load sent again after its unload | complete L load a 40; complete U unload a; order L load a 40; send L; arrive L; answer L | 50 | - | - |
      | ignores | unexpected model appears | appear b 30; order L load a 50; send L; poll; refuse M load c 11 | 10 | L | b |
      | ignores | unnamed memory use beside a lost order | order L load a 50; send L; leak 30; poll; refuse M load c 11 | 10 | L | - |
      | ignores | unnamed memory use beside a failed order | order L load a 50; send L; arrive L; fail L; close L; leak 30; poll; refuse M load c 11 | 10 | L | - |
      | ignores | unexpected model beside a lost order | order L load a 50; send L; appear b 30; import_kv r 1; poll; refuse_kv s 10 | 9 | L | b |
      | ignores | model vanishes during an order | complete L load a 30; order M load b 20; vanish a; poll; poll | 40 | M | - |
      | ignores | model vanishes | complete L load a 30; vanish a; poll; poll | 90 | - | - |
      | ignores | the store is down | down; refuse L load a 60; up; order M load a 60 | 30 | M | - |
      | checks | the store is down | down; order L load a 60; send L; arrive L; end L; answer L | 30 | - | a |
      | checks | the answer to the intent is lost, sender killed | lose_store_answer; order L load a 60; successor; refuse M load b 40; wake L; arrive L | 30 | L | - |
      | checks | unrecorded order, wakes after its successor | down; order L load a 60; up; successor; order M load b 60; wake L; arrive L; send M; arrive M; end M; answer M | 30 | - | b |
      | checks | paused, wakes after its successor | order L load a 60; successor; refuse M load b 40; wake L; arrive L | 30 | L | - |
      | checks | paused, wakes after an engine restart | order L load a 60; successor; restart; poll; poll; refuse M load b 40; wake L; arrive L; end L; wait 11; poll; poll; poll | 30 | - | a |
      | checks | paused, wakes to order more after an engine restart | successor; restart; refuse_stale L load a 60; order M load b 60 | 30 | M | - |

  Scenario: A takeover waits while an order of unknown size is running
    When ledger: "down; order L load a 60; send L; arrive L; up; refuse_successor; end L; successor; refuse M load b 40" happens to an engine of 100 bytes with a role of 10 that checks lazily
    Then ledger: 30 bytes are free, - is pending and a is resident

  Scenario: Intents are kept until their order is settled
    When ledger: "order L load a 10; order M load b 10; send M; arrive M; end M; answer M" happens to an engine of 100 bytes with a role of 10 that ignores
    Then ledger: the intents of M may be removed, once

  Scenario: An adopted order that no inventory has shown is reported
    When ledger: "order L load a 10; successor; poll" happens to an engine of 100 bytes with a role of 10 that ignores
    Then ledger: L is pending and no inventory has shown it

  Scenario Outline: Nothing is reserved before the first inventory or beyond the smaller capacity
    When ledger: a new one of <capacity> bytes, with a margin of <margin>, gets an inventory with <reported>
    Then ledger: a load of <fits> bytes fits and one of <exceeds> does not

    Examples:
      | ignores | capacity | margin | reported | fits | exceeds |
      | ignores | 100      | 0      | 100      | 90   | 91      |
      | ignores | 100      | 5      | 100      | 85   | 86      |
      | ignores | 100      | 0      | 80       | 70   | 71      |
      | ignores | 80       | 0      | 100      | 70   | 71      |

  Scenario: Random orders, faults, restarts and takeovers never overcommit the engine
    Then ledger: no random order of events overcommits the engine

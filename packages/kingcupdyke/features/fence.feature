Feature: Fencing numbers exclude superseded planners and paused sidecars

  Scenario: A lower number of the same lease is rejected
    Then fence: the numbers "south 3; south 3; north 1; south 2; south 4; south 3" get "yes yes yes no yes no" and a rejection is "not run"

  # checks: whether the engine checks fencing numbers. Records are INCARNATION FENCE INTENTS; "-"
  # stands for no object or no intents.

  Scenario Outline: A starting sidecar takes the endpoint over: <case>
    When fence: a sidecar s2 that starts beside an engine that <checks> gets "<events>"
    Then fence: the commands are "<commands>"

    Examples:
      | case | checks | events | commands |
      | no earlier sidecar | ignores | read -; written; inventory 0 | read; write 1 -; inventory; ready 1 - |
      | an earlier sidecar | ignores | read s1 4 L,M; written; inventory 0 | read; write 5 L,M; inventory; ready 5 L,M |
      | intent recorded before the write | ignores | read s1 4 L; conflict s1 4 L,M; written; inventory 4 | read; write 5 L; write 5 L,M; inventory; ready 5 L,M |
      | rival starts before the write | ignores | read s1 4 L; conflict s3 5 L; written; inventory 4 | read; write 5 L; write 6 L; inventory; ready 6 L |
      | answer lost, write took effect | ignores | read s1 4 L; unknown; read s2 5 L; inventory 4 | read; write 5 L; read; inventory; ready 5 L |
      | answer lost, write did not | ignores | read s1 4 L; unknown; read s1 4 L,M; written; inventory 4 | read; write 5 L; read; write 5 L,M; inventory; ready 5 L,M |
      | answer lost, rival starts after it | ignores | read s1 4 L; unknown; read s3 6 L; written; inventory 4 | read; write 5 L; read; write 7 L; inventory; ready 7 L |
      | object lost, engine has seen a higher number | ignores | read -; written; inventory 7; written; inventory 7 | read; write 1 -; inventory; write 8 -; inventory; ready 8 - |
      | object lost, engine has seen the same number | ignores | read -; written; inventory 1; written; inventory 1 | read; write 1 -; inventory; write 2 -; inventory; ready 2 - |
      | raised, then answer lost | ignores | read -; written; inventory 7; unknown; read s2 1; written; inventory 7 | read; write 1 -; inventory; write 8 -; read; write 8 -; inventory; ready 8 - |
      | engine must see the number | checks | read s1 4 -; written; inventory 4; raised; inventory 5 | read; write 5 -; inventory; raise 5; inventory; ready 5 - |
      | engine has not seen it yet | checks | read s1 4 -; written; inventory 4; raised; inventory 4; raised; inventory 5 | read; write 5 -; inventory; raise 5; inventory; raise 5; inventory; ready 5 - |
      | order of unknown size runs | ignores | read s1 4 L; written; inventory 4 L,X; inventory 4 L | read; write 5 L; inventory; inventory; ready 5 L |

  Scenario Outline: A sidecar stops when its endpoint's object names another one, <case>
    Then fence: sidecar s1 that reads "<found>" <may> send orders and accept requests

    Examples:
      | case | found | may |
      | unchanged | s1 4 L | may |
      | written by its successor | s2 5 L | may not |
      | deleted | - | may not |
      | after it was superseded | s2 5 L; s1 6 L | may not |

  Scenario Outline: An endpoint's object is decoded as it was encoded, <case>
    Then fence: the object "<object>" is the same after decoding

    Examples:
      | case | object |
      | without intents | s1 4 |
      | with intents | s1 4 L,M |

  Scenario Outline: A malformed endpoint object is rejected
    Then fence: decoding "<value>" is rejected

    Examples:
      | value |
      | no JSON |
      | [] |
      | {"endpoint": "e"} |
      | {"endpoint": "e", "incarnation": "i", "fence": 1, "intents": [{"a": 1}]} |

  Scenario: An endpoint object larger than the store's limit is rejected
    Then fence: an object whose intents alone have the maximum size is rejected

Feature: Fencing numbers keep late planners and paused sidecars out

  Scenario: An older number of the same lease is refused
    Then fence: the numbers "south 3; south 3; north 1; south 2; south 4; south 3" get "yes yes yes no yes no" and a refusal says not run

  Scenario Outline: A sidecar that starts, <case>
    When fence: a sidecar s2 that starts beside an engine that <checks> meets "<events>"
    Then fence: the commands are "<commands>"

    Examples:
      | case | checks | events | commands |
      | first of all | ignores | read -; written; inventory 0 | read; write 1 -; inventory; ready 1 - |
      | after another | ignores | read s1 4 L,M; written; inventory 0 | read; write 5 L,M; inventory; ready 5 L,M |
      | intent recorded meanwhile | ignores | read s1 4 L; conflict s1 4 L,M; written; inventory 4 | read; write 5 L; write 5 L,M; inventory; ready 5 L,M |
      | rival starts meanwhile | ignores | read s1 4 L; conflict s3 5 L; written; inventory 4 | read; write 5 L; write 6 L; inventory; ready 6 L |
      | answer lost, write took effect | ignores | read s1 4 L; unknown; read s2 5 L; inventory 4 | read; write 5 L; read; inventory; ready 5 L |
      | answer lost, write did not | ignores | read s1 4 L; unknown; read s1 4 L,M; written; inventory 4 | read; write 5 L; read; write 5 L,M; inventory; ready 5 L,M |
      | answer lost, rival since | ignores | read s1 4 L; unknown; read s3 6 L; written; inventory 4 | read; write 5 L; read; write 7 L; inventory; ready 7 L |
      | object lost, engine remembers | ignores | read -; written; inventory 7; written; inventory 7 | read; write 1 -; inventory; write 8 -; inventory; ready 8 - |
      | object lost, number equal | ignores | read -; written; inventory 1; written; inventory 1 | read; write 1 -; inventory; write 2 -; inventory; ready 2 - |
      | raised, then answer lost | ignores | read -; written; inventory 7; unknown; read s2 1; written; inventory 7 | read; write 1 -; inventory; write 8 -; read; write 8 -; inventory; ready 8 - |
      | engine must see the number | checks | read s1 4 -; written; inventory 4; raised; inventory 5 | read; write 5 -; inventory; raise 5; inventory; ready 5 - |
      | engine has not seen it yet | checks | read s1 4 -; written; inventory 4; raised; inventory 4; raised; inventory 5 | read; write 5 -; inventory; raise 5; inventory; raise 5; inventory; ready 5 - |
      | order of unknown size runs | ignores | read s1 4 L; written; inventory 4 L,X; inventory 4 L | read; write 5 L; inventory; inventory; ready 5 L |

  Scenario Outline: A sidecar that meets its own endpoint's object, <case>
    Then fence: sidecar s1 that finds "<found>" <may> send orders and accept work

    Examples:
      | case | found | may |
      | as it wrote it | s1 4 L | may |
      | written by its successor | s2 5 L | may not |
      | gone | - | may not |
      | after it was superseded | s2 5 L; s1 6 L | may not |

  Scenario Outline: An endpoint's object is read back as it was written, <case>
    Then fence: the object "<object>" is the same when read back

    Examples:
      | case | object |
      | without intents | s1 4 |
      | with intents | s1 4 L,M |

  Scenario Outline: An endpoint's object that is none is refused
    Then fence: reading "<value>" is refused

    Examples:
      | value |
      | no JSON |
      | [] |
      | {"endpoint": "e"} |
      | {"endpoint": "e", "incarnation": "i", "fence": 1, "intents": [{"a": 1}]} |

  Scenario: An endpoint's object that the store can't hold is refused
    Then fence: an object whose intents alone fill the largest value is refused

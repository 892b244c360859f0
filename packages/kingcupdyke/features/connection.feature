Feature: A stalled connection is replaced without counting its endpoint as down

  # A beat is due after 0.5 s, the stall timeout is 2 s. In a script, +S advances the time by S
  # seconds in ticks of 0.25 s, and pause=S by S seconds without a tick, as when the process is
  # paused. Any other word is an event at the current time; a number is a connection's generation.

  Scenario Outline: A detector tells a stall from idleness and from a paused process: <case>
    Then connection that observes "<script>" is "<state>"

    Examples:
      | case                            | script                    | state  |
      | new                             | +0                        | probe  |
      | just sent                       | sent +0.25                | fine   |
      | beat is due                     | sent received +0.5        | probe  |
      | nothing is unanswered           | sent received +9          | probe  |
      | answer not due yet              | sent +1.75                | probe  |
      | stalled                         | sent +2                   | silent |
      | later beats do not hide a stall | sent +1 sent +1           | silent |
      | answered in time                | sent +1.75 received +0.25 | probe  |
      | stalled after an answer         | sent +1 received sent +2  | silent |
      | process was paused              | sent +0.25 pause=9        | probe  |
      | stalled after a pause           | sent +0.25 pause=9 +1     | silent |

  Scenario Outline: A connection that does not answer is replaced: <case>
    When connection runs "<script>"
    Then connection commanded "<commands>"
    And connection counts the peer as <state>

    Examples:
      | case                              | script                                                   | commands                                       | state  |
      | first connection                  | +0 opened=1 sent received=1                              | open1 beat1 up1                                | up     |
      | beats continue                    | +0 opened=1 sent received=1 +0.5 sent received=1 +0.5    | open1 beat1 up1 beat1 beat1                    | up     |
      | stalled, new one works            | up +2 opened=2 sent received=2                           | close1 open2 beat2 up2                         | up     |
      | stalled, peer not down meanwhile  | up +2                                                    | close1 open2                                   | trying |
      | new one cannot be opened          | up +2 failed=2                                           | close1 open2 down                              | down   |
      | new one opens but stalls          | up +2 opened=2 sent +2                                   | close1 open2 beat2 close2 down                 | down   |
      | new one never opens               | up +2 +2                                                 | close1 open2 close2 down                       | down   |
      | message on old one, new one fails | up +2 received=1 +0 failed=2                             | close1 open2 down                              | down   |
      | message on old one, new one works | up +2 opened=2 sent received=2 received=1 +0.25          | close1 open2 beat2 up2                         | up     |
      | old one is closed late            | up +2 opened=2 sent received=2 closed=1                  | close1 open2 beat2 up2                         | up     |
      | old one opens late                | up +2 +2 +1 opened=2                                     | close1 open2 close2 down open3 close2          | trying |
      | old one fails late                | up +2 +2 +1 failed=2                                     | close1 open2 close2 down open3                 | trying |
      | old one closes while down         | +0 failed=1 closed=1                                     | open1 down                                     | down   |
      | sent on old one, new one works    | up +2 opened=2 sent received=2 sent=1 +2                 | close1 open2 beat2 up2 beat2 beat2 beat2 beat2 | up     |
      | broken, opened again              | up +0.5 closed=1                                         | beat1 open2                                    | trying |
      | broken as soon as it is up        | +0 opened=1 sent received=1 closed=1                     | open1 beat1 up1 down                           | down   |
      | broken before it was up           | +0 opened=1 closed=1                                     | open1 beat1 down                               | down   |
      | down, then up again               | +0 failed=1 +1 opened=2 sent received=2                  | open1 down open2 beat2 up2                     | up     |
      | duplicate events                  | +0 opened=1 opened=1 sent received=1 received=1 failed=1 | open1 beat1 up1                                | up     |
      | process paused while it opens     | +0.25 pause=9 opened=1 sent received=1                   | open1 beat1 up1                                | up     |

  Scenario: A peer that is down is tried with exponential backoff and jitter
    Then connection backs off 12 times, from 0.5 s to 15 s, and is then reset

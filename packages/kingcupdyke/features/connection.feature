Feature: A silent connection is replaced without counting its endpoint as dead

  # Beats are due after 0.5 s, silence is 2 s. In a script "sent", "heard" and so on are told to
  # the connection at the time so far, +S moves the time on by S seconds in ticks of 0.25 s, and
  # pause=S lets the process itself stand still.

  Scenario Outline: A detector tells silence from idleness and from a pause of its own: <case>
    Then connection that watches "<script>" is "<state>"

    Examples:
      | case                        | script                          | state  |
      | new                         | +0                              | probe  |
      | just sent                   | sent +0.25                      | fine   |
      | beat is due                 | sent heard +0.5                 | probe  |
      | nothing asked, nothing said | sent heard +9                   | probe  |
      | answer not due yet          | sent +1.75                      | probe  |
      | silent                      | sent +2                         | silent |
      | later beats do not hide it  | sent +1 sent +1                 | silent |
      | heard in time               | sent +1.75 heard +0.25          | probe  |
      | silent after it was heard   | sent +1 heard sent +2           | silent |
      | process was paused          | sent +0.25 pause=9              | probe  |
      | silent after a pause        | sent +0.25 pause=9 +1           | silent |

  Scenario Outline: A machine replaces what does not answer: <case>
    When connection plays "<script>"
    Then connection commanded "<commands>"
    And connection counts the peer as <state>

    Examples:
      | case                        | script                                                  | commands                                              | state |
      | first connection            | +0 opened=1 sent heard=1                                | open1 beat1 up1                                       | up    |
      | beats go on                 | +0 opened=1 sent heard=1 +0.5 sent heard=1 +0.5         | open1 beat1 up1 beat1 beat1                           | up    |
      | silent, new one works       | up +2 opened=2 sent heard=2                             | close1 open2 beat2 up2                                | up    |
      | silent, not dead meanwhile  | up +2                                                   | close1 open2                                          | trying |
      | new one cannot be opened    | up +2 failed=2                                          | close1 open2 down                                     | down  |
      | new one opens but is silent | up +2 opened=2 sent +2                                  | close1 open2 beat2 close2 down                        | down  |
      | new one never opens         | up +2 +2                                                | close1 open2 close2 down                              | down  |
      | old one speaks before       | up +2 heard=1 +0 failed=2                               | close1 open2 down                                     | down  |
      | old one speaks after        | up +2 opened=2 sent heard=2 heard=1 +0.25               | close1 open2 beat2 up2                                | up    |
      | old one's end comes late    | up +2 opened=2 sent heard=2 closed=1                    | close1 open2 beat2 up2                                | up    |
      | old one opens late          | up +2 +2 +1 opened=2                                    | close1 open2 close2 down open3 close2                 | trying |
      | old one fails late          | up +2 +2 +1 failed=2                                    | close1 open2 close2 down open3                        | trying |
      | old one closes while down   | +0 failed=1 closed=1                                    | open1 down                                            | down  |
      | late words on the old one   | up +2 opened=2 sent heard=2 sent=1 +2                   | close1 open2 beat2 up2 beat2 beat2 beat2 beat2        | up    |
      | broken, opened anew         | up +0.5 closed=1                                        | beat1 open2                                           | trying |
      | broken as soon as it is up  | +0 opened=1 sent heard=1 closed=1                       | open1 beat1 up1 down                                  | down  |
      | broken before it was up     | +0 opened=1 closed=1                                    | open1 beat1 down                                      | down  |
      | down, then up again         | +0 failed=1 +1 opened=2 sent heard=2                    | open1 down open2 beat2 up2                            | up    |
      | doubled events              | +0 opened=1 opened=1 sent heard=1 heard=1 failed=1      | open1 beat1 up1                                       | up    |
      | paused while it opens       | +0.25 pause=9 opened=1 sent heard=1                     | open1 beat1 up1                                       | up    |

  Scenario: A peer that is down is tried ever less often, with jitter
    Then connection backs off 12 times, from 0.5 s to 15 s, and then anew

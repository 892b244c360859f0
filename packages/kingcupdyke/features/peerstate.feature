Feature: Gateways tell each other load, demand and placements

  Scenario: A message is the same when read back
    Then peerstate: a full message is the same when read back

  Scenario Outline: Bytes that are no message are refused: <bytes>
    Then peerstate: "<bytes>" is refused

    Examples:
      | bytes |
      | x |
      | [] |
      | {} |
      | [1,2,3] |
      | [a] |
      | ["h","i",1,false,1,[[1]],[],[],0,null,[]] |
      | ["h","i",1,false,1,[],[],[],0,[]] |

  Scenario Outline: <case>
    When peerstate: messages "<messages>" are heard
    Then peerstate: at second <at> the live peers are "<live>"

    Examples:
      | case | messages | at | live |
      | the latest counts | 0 p i1 1, 0.1 p i1 2 | 0.2 | p:2 |
      | an older one is ignored | 0 p i1 2, 0.1 p i1 1 | 0.2 | p:2 |
      | a new start replaces the old one | 0 p i1 9, 0.1 p i2 1 | 0.2 | p:1 |
      | the old start is ignored then | 0 p i2 1, 0.1 p i1 9 | 0.2 | p:1 |
      | a silent peer no longer counts | 0 p i1 1, 1 q i1 1 | 1.6 | q:1 |

  Scenario: What the store says is the same when passed on
    Then peerstate: a relay of the store is the same when read back
    And peerstate: a state is no relay, and a relay is no state

  Scenario Outline: Who passes the store's word on: <case>
    Then peerstate: with the peers "<peers>" gateway b passes it on to "<hosts>"

    Examples:
      | case | peers | hosts |
      | to those that are cut off | a!cut c d!cut | a d |
      | to nobody where all reach it | c d | |
      | not where another goes first | a c!cut | |
      | not for another kind | c!other | |

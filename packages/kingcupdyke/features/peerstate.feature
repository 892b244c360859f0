Feature: Gateways send each other load, demand and placements

  Scenario: A message is the same when decoded
    Then peerstate: a full message is the same when decoded

  Scenario Outline: Bytes that are no valid message are rejected: <bytes>
    Then peerstate: "<bytes>" is rejected

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
    When peerstate: messages "<messages>" are received
    Then peerstate: at second <at> the live peers are "<live>"

    Examples:
      | case | messages | at | live |
      | the latest message counts | 0 p i1 1, 0.1 p i1 2 | 0.2 | p:2 |
      | an older message is ignored | 0 p i1 2, 0.1 p i1 1 | 0.2 | p:2 |
      | a later incarnation replaces an earlier one | 0 p i1 9, 0.1 p i2 1 | 0.2 | p:1 |
      | an earlier incarnation is ignored after a later one | 0 p i2 1, 0.1 p i1 9 | 0.2 | p:1 |
      | an unresponsive peer is ignored | 0 p i1 1, 1 q i1 1 | 1.6 | q:1 |

  Scenario: A relay of the store's objects is the same when decoded
    Then peerstate: a relay of the store is the same when decoded
    And peerstate: a state is no valid relay, and a relay is no valid state

  Scenario Outline: Which gateway relays the store's objects: <case>
    Then peerstate: with the peers "<peers>" gateway b relays to "<hosts>"

    Examples:
      | case | peers | hosts |
      | it relays to the peers that cannot read the kind | a!cut c d!cut | a d |
      | to no peer if all can read the kind | c d | |
      | not if an earlier host can relay it | a c!cut | |
      | not to a peer that cannot read another kind | c!other | |

Feature: Callers keep their quotas over all gateways

  Scenario Outline: Faults of <gateways> gateways grant no more than the bound: <case>
    Given quotas: <gateways> gateways and the callers "<callers>"
    When quotas: all callers send at 7 times their rates, through one gateway after the other and anywhere
    And quotas: gateways are cut off, frozen, killed, restarted and added
    Then quotas: no caller has used more than the bound in any 8 s
    And quotas: every caller has used at least a third of its rate

    Examples:
      | gateways | case | callers |
      | 4 | tokens | small 4200 4200 tokens; calm 40000 40000 tokens; big 160000 160000 tokens |
      | 4 | requests | few 0.5 0.5 requests; some 20 5 requests; flat 20 0 requests |
      | 30 | tokens | small 4200 4200 tokens; calm 40000 40000 tokens; big 160000 160000 tokens |
      | 30 | requests | few 0.5 0.5 requests; some 20 5 requests; flat 20 0 requests |
      | 300 | tokens | small 4200 4200 tokens; big 160000 160000 tokens |

  Scenario Outline: A caller at 90 % of its quota loses less than 1 in 100 at <gateways> gateways, sending to <where>
    Given quotas: <gateways> gateways and the callers "calm 40000 40000 tokens; big 160000 160000 tokens"
    When quotas: all callers send at 0.9 times their rates for 20 s to <where>
    Then quotas: less than 1 in 100 requests are denied

    Examples:
      | gateways | where |
      | 4 | one gateway |
      | 4 | any gateway |
      | 30 | one gateway |
      | 30 | any gateway |
      | 30 | one gateway after the other |
      | 300 | any gateway |

  Scenario: One request a minute is served at any gateway
    Given quotas: 30 gateways and the callers "small 4200 4200 tokens"
    When quotas: a request of 7000 tokens comes every 60 s, to 6 gateways
    Then quotas: no request is denied

  Scenario: A lowered quota is binding one window later
    Given quotas: 30 gateways and the callers "big 160000 160000 tokens"
    When quotas: all callers send at 7 times their rates for 5 s
    And quotas: the quotas are lowered to 1 in 4
    Then quotas: no caller uses more than the new bound from 8 s later on

  Scenario: A planned stop of the owner interrupts no caller below its quota
    Given quotas: 30 gateways and the callers "calm 40000 40000 tokens"
    When quotas: the owner stops while callers send at 0.9 times their rates
    Then quotas: less than 1 in 100 requests are denied

  Scenario: A gateway that is cut off spends its reserve only
    Given quotas: 4 gateways and the callers "big 160000 160000 tokens"
    When quotas: a gateway is cut off, and requests of 200 tokens come there at 7 times the rate
    Then quotas: it has served between 0.5 and 1.0 times its part of the reserve

  Scenario: Gateways that ask in advance do not take what others need
    Given quotas: a full bucket of "big 160000 160000 tokens"
    When quotas: 30 gateways each ask it for 48000 tokens in advance
    Then quotas: they have got 72000 tokens, and a request of 7000 tokens is granted

  Scenario: A grant that was lost is not charged
    Given quotas: a full bucket of "small 4200 4200 tokens"
    When quotas: a gateway asks 5 times for 7000 tokens, and no grant arrives
    Then quotas: the bucket lacks 7000 tokens

  Scenario: A new owner starts with an empty bucket
    Given quotas: 4 gateways and the callers "small 4200 4200 tokens"
    When quotas: the owner is killed with a full bucket
    Then quotas: the next owner's bucket holds at most what has accrued since

  Scenario: Refunds make no second burst
    Given quotas: 1 gateways and the callers "small 4200 4200 tokens"
    When quotas: 100 requests of 2400 tokens are refunded at once
    Then quotas: at most 6 requests of 2400 tokens are served at once

  Scenario Outline: One gateway with a quota of <quota>: <served> of 100 requests of <cost> at once
    Given quotas: 1 gateways and the callers "c <quota>"
    When quotas: 100 requests of <cost> come at once
    Then quotas: <served> are served, and the others may come after <retry> s

    Examples:
      | quota | cost | served | retry |
      | 0.5 0.5 requests | 1 | 1 | 0.65 |
      | 2 0 requests | 1 | 1 | 0.1 |
      | 1e9 1e9 tokens | 7000 | 100 | 0 |
      | 4200 4200 tokens | 1000000000000 | 0 | 3600 |
      | 4200 4200 tokens | 0 | 100 | 0 |

  Scenario: Messages are the same when decoded, and no other class decodes them
    Then quotas: each message is decoded by its own class only

  Scenario Outline: Bytes that are no valid message are rejected: <value>
    Then quotas: "<value>" is rejected

    Examples:
      | value |
      | x |
      | [] |
      | ["c","h","i",1,0,[1],-1,0,0] |
      | ["c","h","i",1,0,[NaN],1,0,0] |
      | ["c","h","i","x",0,[],1,0,0] |
      | ["c","i",1,[],1e99,0] |
      | ["h","i",1,1,[],[],{}] |
      | ["h","i",1,1,{"c":"x"},[],{}] |
      | ["h","i",-1,[]] |

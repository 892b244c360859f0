Feature: Gateways keep the limit that an endpoint names, counted over all of them

  Scenario: A message is the same when decoded
    Then limittable: a full message is the same when decoded

  Scenario Outline: Bytes that are no valid message are rejected: <bytes>
    Then limittable: "<bytes>" is rejected

    Examples:
      | bytes |
      | x |
      | [] |
      | {} |
      | [] |
      | {"sender":"h","incarnation":"i","number":1,"reports":[["e1",1,1.5,[1,"g"]]]} |
      | {"sender":"h","incarnation":"i","number":1,"reports":[["e1",1,"x",[1,"g"],[]]]} |
      | {"sender":"h","incarnation":"i","number":1,"reports":[["e1",1,1.5,[1,"g"],["x"]]]} |
      | {"sender":"h","incarnation":"i","number":"x","reports":[]} |
      | {"sender":"h","incarnation":"i","number":1,"reports":[["e1",1,1.5,[1],[]]]} |

  Scenario Outline: <case>
    Given limittable: the gateways "<gateways>" of <count>
    When limittable: "<events>" happens
    Then limittable: gateway "g1" may send in "<delays>" s

    Examples:
      | case | gateways | count | events | delays |
      | without a limit there is no wait | g1 g2 | 2 | 0 send g1; 0 send g1; 0 send g2 | 0 |
      | a limit below one permits one request in four seconds | g1 | 1 | 0 name g1 0.3; 0 send g1 | 4 |
      | so does a limit of 0 | g1 | 1 | 0 name g1 0; 0 send g1; 1 wait | 3 |
      | requests count in a window of a second | g1 | 1 | 0 name g1 2; 0 send g1; 0.25 send g1; 0.5 wait | 0.5 |
      | requests count in a window of four seconds | g1 | 1 | 0 name g1 1; 0 send g1; 1 send g1; 2 send g1; 3 send g1; 3.5 wait | 0.5 |
      | requests before the limit was named count | g1 | 1 | 0 send g1; 0.5 name g1 0.5; 0.5 send g1 | 3.5 |
      | requests of a peer count | g1 g2 | 2 | 0 name g1 0.5; 0 tell g1 g2; 0 send g1; 1 send g2; 1 tell g2 g1 | 3 |
      | a message that comes twice counts once | g1 g2 | 2 | 0 name g1 1; 0 send g2; 0 tell g2 g1; 0 tell g2 g1; 1 wait | 0 |
      | a message that comes late does not replace a newer one | g1 g2 | 2 | 0 name g2 0.25; 0 pack g2; 1 send g2; 1 tell g2 g1; 1 unpack g1 | 4 |
      | a limit is learnt from a peer | g1 g2 | 2 | 0 send g1; 0 name g2 0.25; 1 tell g2 g1 | 3 |
      | a limit that is no longer named ends | g1 g2 | 2 | 0 name g1 0.25; 0 send g1; 1 name g1 -; 1 wait | 0 |
      | its end is learnt from a peer | g1 g2 | 2 | 0 name g1 0.25; 0 tell g1 g2; 0 send g1; 1 name g2 -; 1 tell g2 g1 | 0 |
      | news that comes twice, late, does not end a limit | g1 g2 | 2 | 0 name g2 3; 0 name g2 -; 0 pack g2; 0 unpack g1; 1 name g1 0.25; 1 send g1; 1.5 unpack g1; 2 wait | 3 |
      | of two gateways that learn different things at once, one prevails at both | g1 g2 | 2 | 0 name g1 0.25; 0 name g2 3; 0 pack g2; 0 tell g1 g2; 0 unpack g1; 0 tell g2 g1; 0 send g1; 0.5 wait | 0 |
      | older news does not end a limit | g1 g2 | 2 | 0 name g2 3; 0 tell g2 g1; 0.5 name g2 -; 0.5 pack g2; 0.6 unpack g1; 1 name g1 0.25; 1 send g1; 1 unpack g1 | 4 |
      | older news does not restore a limit | g1 g2 | 2 | 0 name g2 0.25; 0 tell g2 g1; 0.1 send g1; 1 name g1 -; 1 tell g2 g1 | 0 |
      | a later start of the endpoint has no limit | g1 | 1 | 0 name g1 0.25; 0 send g1; 1 restart | 0 |
      | gateways that are cut off keep their share | g1 | 2 | 0 name g1 2; 0 send g1; 0.5 wait | 0.5 |
      | a gateway that has started again does not lose the requests before | g1 g2 | 2 | 0 name g2 0.25; 0 send g2; 0 tell g2 g1; 1 again g2; 1 tell g2 g1 | 3 |

  Scenario Outline: Of <gateways> gateways at most <senders> send to an endpoint with a limit of <limit>
    Then limittable: of <gateways> gateways <senders> send to an endpoint with a limit of <limit>

    Examples:
      | gateways | limit | senders |
      | 1 | 1.4 | 1 |
      | 4 | 1.4 | 4 |
      | 30 | 0.5 | 4 |
      | 30 | 1.4 | 5 |
      | 870 | 20 | 24 |

  Scenario: A gateway that does not send to an endpoint forgets a limit that nobody confirms
    Then limittable: one of 30 gateways that may not send forgets the limit after 10 s, and one that may does not

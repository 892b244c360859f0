Feature: Gateways know at which software version a stream began

  Scenario: A message is the same when decoded
    Then streamorigin: a full message is the same when decoded

  Scenario Outline: Bytes that are no valid message are rejected: <bytes>
    Then streamorigin: "<bytes>" is rejected

    Examples:
      | bytes |
      | x |
      | [] |
      | {} |
      | {"sender":"h","origins":[["r1"]],"asked":[],"unknown":[]} |
      | {"sender":"h","origins":[["r1","s","v1","soon"]],"asked":[],"unknown":[]} |
      | {"sender":"h","origins":[],"asked":1,"unknown":[]} |

  Scenario Outline: <case>
    Given streamorigin: a table of at most 3 origins
    When streamorigin: the origins "<origins>" are stored
    Then streamorigin: at second <at> the known origins are "<known>"

    Examples:
      | case | origins | at | known |
      | an origin is known until its stream can't be continued | 0 r1 v1 4, 0 r2 v2 9 | 5 | r2:v2 |
      | the version that began a stream is not replaced | 0 r1 v1 9, 1 r1 v2 9 | 2 | r1:v1 |
      | an origin that is recorded again for a later attempt is known for longer | 0 r1 v1 4, 3 r1 v1 4 | 6 | r1:v1 |
      | an expired origin is replaced | 0 r1 v1 1, 2 r1 v2 9 | 3 | r1:v2 |
      | the oldest origin gives way to a new one | 0 r1 v1 9, 1 r2 v1 9, 2 r3 v1 9, 3 r4 v1 9 | 4 | r2:v1 r3:v1 r4:v1 |

  Scenario Outline: Any two gateways choose a common peer, or one chooses the other: <gateways>
    Then streamorigin: in regions of "<gateways>" gateways, any two find each other's origins of 200 streams
    And streamorigin: each gateway chooses at most 3 peers

    Examples:
      | gateways |
      | 1 1 |
      | 3 1 |
      | 5 2 3 1 |
      | 20 20 20 |

  Scenario: Gateways report to the planner what streams of one software version wait for
    Then streamorigin: a message on pinned demand is the same when decoded
    And streamorigin: pinned demand counts for 1 s after the latest report of its gateway

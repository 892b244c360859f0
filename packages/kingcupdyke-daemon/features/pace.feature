Feature: Endpoints that start or recover get as many requests as they can take

  Scenario Outline: At <gateways> gateways, an endpoint that <behaviour>
    When pace: <gateways> gateways send to an endpoint that "<behaviour>"
    Then pace: at least 95 in 100 callers of the first 10 s are served in time
    And pace: of 100 callers at most 1 more is served in time without pace or with a warm-up
    And pace: the endpoint never has more than 2 times the load that it can take
    And pace: it has 80 % of its share at most 10 s after it is fast
    And pace: at any time at least one request is permitted there

    Examples:
      | gateways | behaviour |
      | 4 | starts slow and gets fast |
      | 30 | starts slow and gets fast |
      | 300 | starts slow and gets fast |
      | 4 | stays slow |
      | 30 | stays slow |
      | 300 | stays slow |
      | 4 | alternates between up and down |
      | 30 | alternates between up and down |
      | 300 | alternates between up and down |
      | 4 | is unreachable for a second |
      | 30 | is unreachable for a second |
      | 300 | is unreachable for a second |
      | 4 | collapses at half of its slots |
      | 30 | collapses at half of its slots |
      | 300 | collapses at half of its slots |
      | 4 | is a whole service that restarts |
      | 30 | is a whole service that restarts |
      | 300 | is a whole service that restarts |
      | 4 | is a cold engine |
      | 30 | is a cold engine |
      | 300 | is a cold engine |

  Scenario: At 300 gateways, a whole service that restarts, with seed 2
    When pace: with seed 2, 300 gateways send to an endpoint that "is a whole service that restarts"
    Then pace: at least 95 in 100 callers of the first 10 s are served in time
    And pace: the endpoint never has more than 2 times the load that it can take

  Scenario: A window grows by half with a window's worth of successes, and is halved once in a round trip
    Then pace: a window is 4, 6 after 4 successes, 3 after 2 failures, and at least 1 after 9 more

  Scenario: A gateway that has just started treats the endpoints of its first list as established
    Then pace: of a first list only an endpoint that says that it is slow has a window

  Scenario: An endpoint that only one of 4 gateways cannot reach keeps its requests
    Then pace: no other gateway of 4 begins a window if one reports failed connections

  Scenario: A message is the same when decoded
    Then pace: a full message is the same when decoded

  Scenario Outline: Bytes that are no valid message are rejected: <bytes>
    Then pace: "<bytes>" is rejected

    Examples:
      | bytes |
      | x |
      | {} |
      | {"sender":"h","incarnation":"i","reports":[["e1",1,1,"other",1,1,4.0,false,false,0.0,1.0]]} |
      | {"sender":"h","incarnation":"i","reports":[["e1",1,1,"cold",1,1,NaN,false,false,0.0,1.0]]} |
      | {"sender":"h","incarnation":"i","reports":[["e1",1,1,"cold",1,1,0.0,false,false,0.0,1.0]]} |
      | {"sender":"h","incarnation":"i","reports":[["e1",1,1,"cold"]]} |

Feature: The dispatcher sends, queues or rejects requests by the requests in flight from all gateways

  Scenario Outline: <case>
    Given dispatcher: endpoints "<endpoints>" of a plain service
    When dispatcher: "<events>" happens
    Then dispatcher: the decisions are "<decisions>"

    Examples:
      | case | endpoints | events | decisions |
      | the endpoint with the fewest requests is chosen | e1 e2 | submit r1; submit r2 | r1:e1 r2:e2 |
      | full endpoints get no more requests | e1 | submit r1; submit r2; submit r3; submit r4; submit r5 | r1:e1 r2:e1 r3:e1 r4:e1 r5:wait |
      | requests of peers count | e1 e2 | peer e1 4; submit r1; submit r2 | r1:e2 r2:e2 |
      | a free slot goes to the waiting request | e1 | peer e1 4; submit r1; peer e1 3; poll | r1:e1 |
      | the more urgent request goes first | e1 | peer e1 4; submit r1 priority=2; submit r2 priority=0; peer e1 3; poll | r1:wait r2:e1 |
      | the request with the earlier objective goes first | e1 | peer e1 4; submit r1 objective_s=2; submit r2 objective_s=1; peer e1 3; poll | r1:wait r2:e1 |
      | a request that can be on time goes before one that cannot | e1 | wait 1; peer e1 4; submit r1 objective_s=0.5; submit r2 objective_s=2; peer e1 3; poll | r1:wait r2:e1 |
      | draining endpoints get no requests | e1 e2 | drain e1; submit r1; submit r2 | r1:e2 r2:e2 |
      | without any endpoint, a request is rejected immediately | e1 | drain e1; submit r1 | r1:reject |
      | excluded endpoints are not tried again | e1 | submit r1 excluded=e1 | r1:reject |
      | a request with a passed deadline is rejected immediately | e1 | wait 5; submit r1 | r1:reject |
      | a request that waits until its deadline is rejected | e1 | peer e1 4; submit r1; wait 4; poll | r1:reject |
      | a request with a deadline that the queue cannot meet is rejected immediately | e1 | slow 3; peer e1 4; submit r1; submit r2; submit r3; submit r4; submit r5; submit r6 | r1:wait r2:wait r3:wait r4:wait r5:wait r6:reject |
      | a withdrawn request is not sent | e1 | peer e1 4; submit r1; withdraw r1; peer e1 3; poll | r1:wait |
      | an endpoint in backoff gets no requests | e1 e2 | fail e1; submit r1; submit r2 | r1:e2 r2:e2 |
      | unless there is no other endpoint | e1 | fail e1; submit r1 | r1:e1 |
      | a stream continues at the software version that began it | e1 e2 | version e2 v2; submit r1 software_version=v2; submit r2 software_version=v2 | r1:e2 r2:e2 |
      | a stream is rejected if no endpoint has the version that began it | e1 e2 | version e2 v2; submit r1 software_version=v3 | r1:reject |
      | a stream does not continue where a connection was refused, as the endpoint may have started again | e1 e2 | version e2 v2; refuse e2; submit r1 software_version=v2 | r1:reject |
      | nor after a heartbeat that may have been written before | e1 e2 | version e2 v2; refuse e2; wait 2.9; beat e2 5; submit r1 software_version=v2 | r1:reject |
      | a stream that may be resumed begins elsewhere, as long as there is room | e1 e2 | version e1 v1; version e2 v1; registered v1; refuse e1; begin_resumable r1; begin_resumable r2 | r1:e2 r2:e2 |
      | but it begins there rather than nowhere | e1 | version e1 v1; registered v1; refuse e1; begin_resumable r1 | r1:e1 |
      | it does after a later heartbeat of the same process | e1 e2 | version e2 v2; refuse e2; wait 3.1; beat e2 5; submit r1 software_version=v2 | r1:e2 |
      | a resumable stream waits until a version is registered | e1 e2 | begin_resumable r1; wait 0.1; poll | r1:wait |
      | it begins once that is so | e1 | version e1 v1; begin_resumable r1; registered v1; poll | r1:e1 |
      | it begins at a registered version only | e1 e2 | version e1 v1; version e2 v2; registered v2; begin_resumable r1; begin_resumable r2 | r1:e2 r2:e2 |
      | it waits for capacity at a version that is being registered | e1 e2 | version e1 v1; version e2 v2; registered v1; peer e1 4; slow 100; begin_resumable r1; registered v1,v2; poll | r1:e2 |
      | a prompt that crashes endpoints is rejected immediately, and others are sent | e1 | crash x; submit r1 parts=x:9; submit r2 parts=y:9 | r1:reject r2:e1 |
      | so is one that waits already | e1 | peer e1 4; submit r1 parts=x:9; submit r2 parts=y:9; crash x; poll | r1:reject r2:wait |
      | an endpoint whose limit is reached gets no requests | e1 e2 | limit e1 0.25; submit r1; submit r2; submit r3 | r1:e1 r2:e2 r3:e2 |
      | a request waits for the limit of the only endpoint | e1 | limit e1 1; submit r1; submit r2; wait 1; poll | r1:e1 r2:e1 |
      | a request that the limit does not permit in time is rejected immediately | e1 | limit e1 0.25; submit r1; submit r2 deadline_s=3 | r1:e1 r2:reject |
      | so is one behind others that wait for the limit | e1 | limit e1 1; submit r1; submit r2; submit r3; submit r4; submit r5; submit r6 | r1:e1 r2:wait r3:wait r4:wait r5:reject r6:reject |
      | a limit that has ended permits all requests | e1 | limit e1 0.25; submit r1; limit e1 none; submit r2 | r1:e1 r2:e1 |
      | an endpoint that has requested backoff gets no requests | e1 e2 | backoff e1 2; submit r1; submit r2 | r1:e2 r2:e2 |
      | after that time it gets them | e1 e2 | backoff e1 2; wait 2; submit r1 | r1:e1 |
      | not before, if another answer of it is a success | e1 e2 | backoff e1 2; succeed e1; submit r1 | r1:e2 |
      | a shorter time that it names later ends nothing | e1 e2 | backoff e1 2; backoff e1 1; wait 1.5; submit r1 | r1:e2 |
      | nor does one of 0 | e1 e2 | backoff e1 2; backoff e1 0; submit r1 | r1:e2 |
      | a longer one counts | e1 e2 | backoff e1 1; backoff e1 2; wait 1.5; submit r1 | r1:e2 |
      | nor does an entry that comes again | e1 e2 | backoff e1 2; remove e1; list e1; submit r1 | r1:e2 |
      | a request waits for the backoff of the only endpoint | e1 | backoff e1 2; submit r1; wait 1.9; poll; wait 0.1; poll | r1:e1 |
      | one that can't wait that long is rejected immediately | e1 | backoff e1 2; submit r1 deadline_s=1.9 | r1:reject |
      | so is one that waits already | e1 | peer e1 4; submit r1 deadline_s=2; backoff e1 3; poll | r1:reject |
      | of several endpoints, the one that may be called first counts | e1 e2 | backoff e1 9; backoff e2 1; submit r1; wait 1; poll | r1:e2 |
      | a request waits for full endpoints rather than for a long backoff | e1 e2 | backoff e1 9; peer e2 4; submit r1; peer e2 3; poll | r1:e2 |
      | it waits for a short backoff rather than being rejected as the others are full for long | e1 e2 | slow 30; peer e2 4; backoff e1 1; submit r1; wait 1; poll | r1:e1 |
      | requests beyond the slots wait on after the backoff | e1 | backoff e1 1; submit r1; submit r2; submit r3; submit r4; submit r5; wait 1; poll | r1:e1 r2:e1 r3:e1 r4:e1 r5:wait |
      | another region is used only if the local one is busier | e1 s1 | submit r1; submit r2; submit r3 | r1:e1 r2:e1 r3:e1 |

  Scenario Outline: Models: <case>
    Given dispatcher: engines "<endpoints>" with models that load in 6 s, from disk in 1 s
    When dispatcher: "<events>" happens
    Then dispatcher: the decisions are "<decisions>"

    Examples:
      | case | endpoints | events | decisions |
      | the holder of the model gets the request | e1=m1 e2=m2 | submit r1 model=m2 | r1:e2 |
      | the holder of the adapter gets the request | e1=m1 e2=m1+a1 | submit r1 model=m1 adapter=a1 | r1:e2 |
      | a request for a model without a replica waits for its load | e1=m1 | submit r1 model=m2 deadline_s=8 | r1:wait |
      | a request for a model that cannot be loaded in time is rejected | e1=m1 | submit r1 model=m2 deadline_s=5 | r1:reject |
      | a request whose client leaves before the load is rejected | e1=m1 | submit r1 model=m2 deadline_s=8 first_by_s=5 | r1:reject |
      | a load from a copy on disk is fast enough | e1=m1/m2 | submit r1 model=m2 deadline_s=5 | r1:wait |
      | the planner's placement overrides the estimate | e1=m1 | place e1 m2 2; submit r1 model=m2 deadline_s=5 | r1:wait |
      | a request is rejected if the placement is too late | e1=m1/m2 | place e1 m2 7; submit r1 model=m2 deadline_s=5 | r1:reject |
      | a placement on a removed endpoint does not count | e1=m1 e2=m3 | place e2 m2 2; remove e2; submit r1 model=m2 deadline_s=5 | r1:reject |
      | a request waits for the backoff of the only holder | e1=m1 e2=m2 | backoff e1 2; submit r1 model=m1; wait 2; poll | r1:e1 |
      | it waits for a replica that is ready before | e1=m1 e2=m3 | place e2 m1 1; backoff e1 9; submit r1 model=m1 deadline_s=3; hold e2 m1; poll | r1:e2 |
      | a replica at the holder itself is none | e1=m1 | place e1 m1 1; backoff e1 9; submit r1 model=m1 deadline_s=3 | r1:reject |
      | nor on a draining endpoint | e1=m1 e2=m3 | place e2 m2 2; drain e2; submit r1 model=m2 deadline_s=5 | r1:reject |
      | nor on an unreachable endpoint | e1=m1 e2=m3 | place e2 m2 2; fail e2; fail e2; submit r1 model=m2 deadline_s=5 | r1:reject |
      | a request that waits for the placement is rejected when the endpoint is removed | e1=m1 e2=m3 | place e2 m2 2; submit r1 model=m2 deadline_s=5; remove e2; poll | r1:reject |
      | prompts that wait for the same load count | e1=m1 | place e1 m2 2; submit r1 model=m2 tokens=60000 deadline_s=9; submit r2 model=m2 tokens=1000 deadline_s=4 | r1:wait r2:reject |
      | not those that are served after it | e1=m1 | place e1 m2 2; submit r1 model=m2 tokens=60000 deadline_s=9 priority=2; submit r2 model=m2 tokens=1000 deadline_s=4 priority=0 | r1:wait r2:wait |
      | requests that wait at peers count | e1=m1 | place e1 m2 2; demand m2 60; submit r1 model=m2 tokens=1000 deadline_s=4 | r1:reject |
      | not those that wait for another model | e1=m1 | place e1 m2 2; demand m3 60; submit r1 model=m2 tokens=1000 deadline_s=4 | r1:wait |
      | a stream waits for a placement at the version that began it | e1=m1 e2=m3 | version e2 v2; place e2 m2 2; submit r1 model=m2 deadline_s=5 software_version=v2 | r1:wait |
      | not for one at another version | e1=m1 e2=m3 | version e2 v2; place e1 m2 2; submit r1 model=m2 deadline_s=5 software_version=v2 | r1:reject |
      | a request is sent once the endpoint's entry contains the model | e1=m1 | submit r1 model=m2 deadline_s=8; hold e1 m2; poll | r1:e1 |
      | a request for a model that is not configured is rejected | e1=m1 | submit r1 model=m9 | r1:reject |
      | a prompt goes to the endpoint that has read its prefix | e1=m1 e2=m1 | submit r1 model=m1 parts=x:2000 tokens=2000; begin r1; peer e1 4; submit r2 model=m1 parts=y:2000 tokens=2000; begin r2; peer e1 0; submit r3 model=m1 parts=y:2000 tokens=2000 | r1:e1 r2:e2 r3:e2 |
      | a request whose prompt cannot be read before its client leaves is rejected | e1=m1 | submit r1 model=m1 tokens=20000 first_by_s=0.5 | r1:reject |
      | also if unread prompts of other requests delay it | e1=m1 | submit r1 model=m1 tokens=6000; submit r2 model=m1 tokens=6000 first_by_s=0.5 | r1:e1 r2:reject |
      | not if there is time | e1=m1 | submit r1 model=m1 tokens=6000; submit r2 model=m1 tokens=6000 first_by_s=0.7 | r1:e1 r2:e1 |
      | an endpoint with a long backlog gets no more requests | e1=m1 | submit r1 model=m1 tokens=9000; submit r2 model=m1 tokens=100 | r1:e1 r2:wait |
      | until the prompt in its backlog was read | e1=m1 | submit r1 model=m1 tokens=9000; submit r2 model=m1 tokens=100; begin r1; poll | r1:e1 r2:e1 |

  Scenario: In an overload, urgent requests are served and the others are rejected in time
    When dispatcher: 300 requests in 3 s, a third of them urgent, meet 4 slots of 0.1 s each
    Then dispatcher: every urgent request is served, most of them on time
    And dispatcher: no endpoint had more requests than slots
    And dispatcher: no request is still waiting after its deadline

  # Guards against state, and messages to peers, that grow with what callers write.
  Scenario: Models and adapters that are not configured are no demand
    Given dispatcher: engines "e1=m1" with models that load in 6 s, from disk in 1 s
    When dispatcher: 1000 requests come, each for another model or adapter that is not configured
    And dispatcher: "submit r1 model=m1 tokens=900; submit r2 model=m2 tokens=900" happens
    Then dispatcher: there is demand for "m1 m2" only

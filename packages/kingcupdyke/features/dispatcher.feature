Feature: The dispatcher sends, keeps waiting or refuses, by what all gateways have under way

  Scenario Outline: <case>
    Given dispatcher: endpoints "<endpoints>" of a plain service
    When dispatcher: "<events>" happens
    Then dispatcher: the decisions are "<decisions>"

    Examples:
      | case | endpoints | events | decisions |
      | the one with fewest requests | e1 e2 | ask r1; ask r2 | r1:e1 r2:e2 |
      | full ones get no more | e1 | ask r1; ask r2; ask r3; ask r4; ask r5 | r1:e1 r2:e1 r3:e1 r4:e1 r5:wait |
      | work of peers counts | e1 e2 | peer e1 4; ask r1; ask r2 | r1:e2 r2:e2 |
      | a free place goes to the one that waits | e1 | peer e1 4; ask r1; peer e1 3; poll | r1:e1 |
      | the more urgent one goes first | e1 | peer e1 4; ask r1 priority=2; ask r2 priority=0; peer e1 3; poll | r1:wait r2:e1 |
      | the earlier objective goes first | e1 | peer e1 4; ask r1 objective_s=2; ask r2 objective_s=1; peer e1 3; poll | r1:wait r2:e1 |
      | one that can be on time goes before one that can't | e1 | wait 1; peer e1 4; ask r1 objective_s=0.5; ask r2 objective_s=2; peer e1 3; poll | r1:wait r2:e1 |
      | leaving endpoints get nothing | e1 e2 | leave e1; ask r1; ask r2 | r1:e2 r2:e2 |
      | no endpoint at all is said at once | e1 | leave e1; ask r1 | r1:refuse |
      | excluded endpoints are not tried again | e1 | ask r1 excluded=e1 | r1:refuse |
      | a passed deadline is said at once | e1 | wait 5; ask r1 | r1:refuse |
      | one that waits past its deadline is refused | e1 | peer e1 4; ask r1; wait 4; poll | r1:refuse |
      | a queue longer than the deadline is said at once | e1 | slow 3; peer e1 4; ask r1; ask r2; ask r3; ask r4; ask r5; ask r6 | r1:wait r2:wait r3:wait r4:wait r5:wait r6:refuse |
      | one that was withdrawn is not sent | e1 | peer e1 4; ask r1; withdraw r1; peer e1 3; poll | r1:wait |
      | an endpoint out of reach is left alone | e1 e2 | fail e1; ask r1; ask r2 | r1:e2 r2:e2 |
      | unless there is no other one | e1 | fail e1; ask r1 | r1:e1 |
      | another region only where the own one is busier | e1 s1 | ask r1; ask r2; ask r3 | r1:e1 r2:e1 r3:e1 |

  Scenario Outline: Models: <case>
    Given dispatcher: engines "<endpoints>" with models that load in 6 s, from disk in 1 s
    When dispatcher: "<events>" happens
    Then dispatcher: the decisions are "<decisions>"

    Examples:
      | case | endpoints | events | decisions |
      | the holder gets it | e1=m1 e2=m2 | ask r1 model=m2 | r1:e2 |
      | the holder of the adapter gets it | e1=m1 e2=m1+a1 | ask r1 model=m1 adapter=a1 | r1:e2 |
      | one that nobody holds waits for its load | e1=m1 | ask r1 model=m2 deadline_s=8 | r1:wait |
      | one that can't be loaded in time is refused | e1=m1 | ask r1 model=m2 deadline_s=5 | r1:refuse |
      | one whose client leaves before is refused | e1=m1 | ask r1 model=m2 deadline_s=8 first_by_s=5 | r1:refuse |
      | a copy on disk is fast enough | e1=m1/m2 | ask r1 model=m2 deadline_s=5 | r1:wait |
      | the planner's word goes before the estimate | e1=m1 | place e1 m2 2; ask r1 model=m2 deadline_s=5 | r1:wait |
      | and says when it is too late | e1=m1/m2 | place e1 m2 7; ask r1 model=m2 deadline_s=5 | r1:refuse |
      | the planner's word on an endpoint that is gone does not count | e1=m1 e2=m3 | place e2 m2 2; gone e2; ask r1 model=m2 deadline_s=5 | r1:refuse |
      | nor on one that leaves | e1=m1 e2=m3 | place e2 m2 2; leave e2; ask r1 model=m2 deadline_s=5 | r1:refuse |
      | nor on one out of reach | e1=m1 e2=m3 | place e2 m2 2; fail e2; fail e2; ask r1 model=m2 deadline_s=5 | r1:refuse |
      | one that waits for it is refused when the endpoint goes | e1=m1 e2=m3 | place e2 m2 2; ask r1 model=m2 deadline_s=5; gone e2; poll | r1:refuse |
      | prompts that wait for the same load count | e1=m1 | place e1 m2 2; ask r1 model=m2 tokens=60000 deadline_s=9; ask r2 model=m2 tokens=1000 deadline_s=4 | r1:wait r2:refuse |
      | not those that go after it | e1=m1 | place e1 m2 2; ask r1 model=m2 tokens=60000 deadline_s=9 priority=2; ask r2 model=m2 tokens=1000 deadline_s=4 priority=0 | r1:wait r2:wait |
      | those that wait at peers count | e1=m1 | place e1 m2 2; demand m2 60; ask r1 model=m2 tokens=1000 deadline_s=4 | r1:refuse |
      | not those that wait for another model | e1=m1 | place e1 m2 2; demand m3 60; ask r1 model=m2 tokens=1000 deadline_s=4 | r1:wait |
      | it is sent once the entry shows the model | e1=m1 | ask r1 model=m2 deadline_s=8; hold e1 m2; poll | r1:e1 |
      | a model that is not configured is refused | e1=m1 | ask r1 model=m9 | r1:refuse |
      | the beginning of a prompt goes where it was read | e1=m1 e2=m1 | ask r1 model=m1 parts=x:2000 tokens=2000; began r1; peer e1 4; ask r2 model=m1 parts=y:2000 tokens=2000; began r2; peer e1 0; ask r3 model=m1 parts=y:2000 tokens=2000 | r1:e1 r2:e2 r3:e2 |
      | one whose prompt can't be read before its client leaves is refused | e1=m1 | ask r1 model=m1 tokens=20000 first_by_s=0.5 | r1:refuse |
      | the same behind prompts that are not read yet | e1=m1 | ask r1 model=m1 tokens=6000; ask r2 model=m1 tokens=6000 first_by_s=0.5 | r1:e1 r2:refuse |
      | not where there is time | e1=m1 | ask r1 model=m1 tokens=6000; ask r2 model=m1 tokens=6000 first_by_s=0.7 | r1:e1 r2:e1 |
      | a long backlog gets no more | e1=m1 | ask r1 model=m1 tokens=9000; ask r2 model=m1 tokens=100 | r1:e1 r2:wait |
      | until its prompt was read | e1=m1 | ask r1 model=m1 tokens=9000; ask r2 model=m1 tokens=100; began r1; poll | r1:e1 r2:e1 |

  Scenario: A burst beyond what the endpoints carry: the urgent are served, the others hear at once
    When dispatcher: 300 requests in 3 s, a third of them urgent, meet 4 places of 0.1 s each
    Then dispatcher: every urgent request is served, most of them on time
    And dispatcher: no endpoint had more requests than places
    And dispatcher: nobody waits beyond the own deadline without an answer

Feature: Every model stays reachable

  # The events are methods of ResidencyScript in residency_steps.py.

  Scenario Outline: <case>
    When residency: "<events>" happens to a model that needs <needed> replicas
    Then residency: it is resident on "<resident>" and the record names "<holders>"

    Examples:
      | case | needed | events | resident | holders |
      | the only replica stays | 0 | load a; begin p a; step p refused | a | a |
      | two planners unload the last two concurrently | 1 | load a,b; begin p a; begin q b; step p,q pending; step p unloaded; step q refused | b | b |
      | two planners unload two of three where two are needed | 2 | load a,b,c; begin p a; begin q b; step p,q pending; step p unloaded; step q refused | b,c | b,c |
      | two planners unload the same replica | 1 | load a,b; begin p a; begin q a; step p,q pending; step p unloaded; step q unloaded | b | b |
      | the record changes before a removal | 1 | load a,b; begin p a; step p pending; load c; step p pending; step p unloaded | b,c | b,c |
      | the answer to a removal is lost | 1 | load a,b; begin p a; step p pending; lose; step p pending; step p unloaded | b | b |
      | the answer is lost and a rival removes the other | 1 | load a,b; begin p a; begin q b; step p,q pending; lose; step p pending; step q refused; step p unloaded | b | b |
      | the store goes down while demand moves | 1 | load a,b; begin p a; step p pending; down; step p down | a,b | a,b |
      | the host list shows that the other holder is leaving | 1 | load a,b; list b; begin p a; step p refused | a,b | a,b |
      | the other holder is known to be dead | 1 | load a,b; kill b; list b; begin p a; step p refused | a | a,b |
      | the host list is stale, but the other holder has marked itself | 1 | load a,b; leave b; proceed b 2; begin p a; step p refused | a,b | a,b |
      | a leaving host holds the last replica | 1 | load a; leave a; proceed a 9; requested 1 | a | a |
      | a leaving host holds the last replica of a model that needs none | 0 | load a; leave a; proceed a 9; requested 1 | a | a |
      | a leaving host holds one of two required replicas | 2 | load a,b; leave a; proceed a 9; requested 1 | a,b | a,b |
      | a leaving host hands over the last replica | 1 | load a; leave a; proceed a 9; load b; wait 1; proceed a 9; stopped a - | b | b |
      | a leaving host is not needed | 1 | load a,b; leave a; proceed a 9; stopped a - | b | b |
      | two hosts that hold the last two leave concurrently | 1 | load a,b; leave a; leave b; proceed a,b 9; requested 1; load c; wait 1; proceed a,b 9; stopped a -; stopped b - | c | c |
      | a host leaves while a planner unloads elsewhere | 1 | load a,b; leave a; begin p b; step p pending; proceed a 2; step p refused; proceed a 9; stopped a - | b | b |
      | a planner unloads elsewhere while a host leaves | 1 | load a,b; leave a; begin p b; step p pending; step p unloaded; proceed a 9; requested 1 | a | a |
      | the answer to a leaving host's removal is lost | 1 | load a,b; leave a; proceed a 3; lose; proceed a 9; stopped a - | b | b |
      | a leaving host's removal conflicts with another change | 1 | load a,b; leave a; proceed a 3; load c; proceed a 9; stopped a - | b,c | b,c |
      | a leaving host was removed, then others died | 1 | load a,b; leave a; proceed a 3; lose; proceed a 1; kill b; notice b; proceed a 9; stopped a - | | |
      | a leaving host that the record does not name | 1 | unrecorded a; leave a; proceed a 9; requested 1 | a | |
      | a leaving host in an outage of the store, time limit reached | 1 | load a; down; leave a; proceed a 9; wait 30; proceed a 1; stopped a m | | a |
      | a leaving host in an outage of the store, time limit not reached | 1 | load a,b; down; leave a; proceed a 9; wait 29; proceed a 1 | a,b | a,b |
      | a leaving host that holds nothing | 1 | load b; leave a; proceed a 1; stopped a - | b | b |
      | an endpoint is killed and noticed | 1 | load a; kill a; notice a; load b | b | b |
      | an engine restarts and loads again | 1 | load a; kill a; notice a; load a | a | a |
      | the end of an earlier incarnation is noticed late | 1 | load a; kill a; restart a; load a; late_notice a | a | a |

  Scenario Outline: A leaving holder stays marked when a load adds it again, <case>
    Then residency: a leaving holder on host <before> that is added on <after> is marked: <marked>

    Examples:
      | case | before | after | marked |
      | same host | h1 | h1 | yes |
      | moved to another host | h1 | h2 | no |

  Scenario: Removing an endpoint that is not a holder leaves the record unchanged
    Then residency: removing b from a record of a gives the same record

  Scenario: A residency record is decoded as it was encoded
    Then residency: a record with two holders is the same after decoding

  Scenario Outline: A value that is not a residency record is rejected
    Then residency: decoding "<value>" is rejected

    Examples:
      | value |
      | no JSON |
      | [] |
      | {"model": "m"} |
      | {"model": "m", "holders_by_endpoint": {"a": {"host": 1}}} |

  Scenario: Concurrent planners, leaving hosts and a failing store in random order
    Then residency: the model is reachable in any order of events

Feature: Every model stays reachable

  Scenario Outline: <case>
    When residency: "<events>" happens to a model that needs <needed> replicas
    Then residency: it is resident on "<resident>" and the record names "<holders>"

    Examples:
      | case | needed | events | resident | holders |
      | the only replica stays | 0 | load a; begin p a; step p refused | a | a |
      | two planners unload the last two at once | 1 | load a,b; begin p a; begin q b; step p,q pending; step p unloaded; step q refused | b | b |
      | two planners unload two of three where two are needed | 2 | load a,b,c; begin p a; begin q b; step p,q pending; step p unloaded; step q refused | b,c | b,c |
      | two planners unload the same replica | 1 | load a,b; begin p a; begin q a; step p,q pending; step p unloaded; step q unloaded | b | b |
      | the record changes before a removal | 1 | load a,b; begin p a; step p pending; load c; step p pending; step p unloaded | b,c | b,c |
      | the answer to a removal is lost | 1 | load a,b; begin p a; step p pending; lose; step p pending; step p unloaded | b | b |
      | the answer is lost and a rival removes the other | 1 | load a,b; begin p a; begin q b; step p,q pending; lose; step p pending; step q refused; step p unloaded | b | b |
      | the store goes down while demand moves | 1 | load a,b; begin p a; step p pending; down; step p down | a,b | a,b |
      | the host list shows that the other holder leaves | 1 | load a,b; list b; begin p a; step p refused | a,b | a,b |
      | the other holder is known to be dead | 1 | load a,b; kill b; list b; begin p a; step p refused | a | a,b |
      | the host list lags, but the other holder has marked itself | 1 | load a,b; leave b; hand b 2; begin p a; step p refused | a,b | a,b |
      | a leaving host holds the last replica | 1 | load a; leave a; hand a 9; asked 1 | a | a |
      | a leaving host holds the last replica of a model that needs none | 0 | load a; leave a; hand a 9; asked 1 | a | a |
      | a leaving host holds one of two that are needed | 2 | load a,b; leave a; hand a 9; asked 1 | a,b | a,b |
      | a leaving host hands its last replica over | 1 | load a; leave a; hand a 9; load b; wait 1; hand a 9; gone a - | b | b |
      | a leaving host is not needed | 1 | load a,b; leave a; hand a 9; gone a - | b | b |
      | two hosts that hold the last two leave at once | 1 | load a,b; leave a; leave b; hand a,b 9; asked 1; load c; wait 1; hand a,b 9; gone a -; gone b - | c | c |
      | a host leaves while a planner unloads elsewhere | 1 | load a,b; leave a; begin p b; step p pending; hand a 2; step p refused; hand a 9; gone a - | b | b |
      | a planner unloads elsewhere while a host leaves | 1 | load a,b; leave a; begin p b; step p pending; step p unloaded; hand a 9; asked 1 | a | a |
      | a leaving host's removal loses its answer | 1 | load a,b; leave a; hand a 3; lose; hand a 9; gone a - | b | b |
      | a leaving host's removal meets another change | 1 | load a,b; leave a; hand a 3; load c; hand a 9; gone a - | b,c | b,c |
      | a leaving host was removed, then others died | 1 | load a,b; leave a; hand a 3; lose; hand a 1; kill b; notice b; hand a 9; gone a - | | |
      | a leaving host that the record does not name | 1 | secret a; leave a; hand a 9; asked 1 | a | |
      | a leaving host in an outage of the store, bound over | 1 | load a; down; leave a; hand a 9; wait 30; hand a 1; gone a m | | a |
      | a leaving host in an outage of the store, bound not over | 1 | load a,b; down; leave a; hand a 9; wait 29; hand a 1 | a,b | a,b |
      | a leaving host that holds nothing | 1 | load b; leave a; hand a 1; gone a - | b | b |
      | an endpoint is killed and noticed | 1 | load a; kill a; notice a; load b | b | b |
      | an engine restarts and loads again | 1 | load a; kill a; notice a; load a | a | a |
      | the end of an earlier incarnation is noticed late | 1 | load a; kill a; again a; load a; late a | a | a |

  Scenario Outline: A leaving host stays marked when a load adds it again, <case>
    Then residency: a leaving holder on host <before> that is added on <after> is marked: <marked>

    Examples:
      | case | before | after | marked |
      | same host | h1 | h1 | yes |
      | moved to another host | h1 | h2 | no |

  Scenario: Removing an endpoint that holds nothing changes nothing
    Then residency: removing b from a record of a gives the same record

  Scenario: A record is read back as it was written
    Then residency: a record with two holders is the same when read back

  Scenario Outline: A value that is no record is refused
    Then residency: reading "<value>" is refused

    Examples:
      | value |
      | no JSON |
      | [] |
      | {"model": "m"} |
      | {"model": "m", "holders_by_endpoint": {"a": {"host": 1}}} |

  Scenario: Rival planners, leaving hosts and a failing store in any order
    Then residency: the model is reachable in any order of events

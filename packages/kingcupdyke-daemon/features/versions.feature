Feature: A stream continues only at the software version that began it

  # Guards against answers that join the output of two versions: the version has to be proved by
  # evidence that survives the end of all gateways, or the resumption is rejected as not run.
  Scenario Outline: <case>
    When versions: "<events>" happens
    Then versions: the client got events "<ids>", all of one version, and its last answer was "<last>"

    Examples: after all gateways were killed
      | case | events | ids | last |
      | with one version, streams continue immediately | add a v1; start 2; begin; kill; start 2; resume r1 | 1,2,3,4 | 200 |
      | also when the client names no attempt | add a v1; start 2; begin; kill; start 2; resume none | 1,2,3,4 | 200 |
      | the endpoints of the old version were released before | add a v1; start 2; begin; add b v2; other; remove a; wait 0.2; kill; start 2; wait 2.3; resume r1 | 1,2 | 503 |
      | they are released meanwhile | add a v1; start 2; begin; add b v2; other; kill; remove a; start 2; wait 2.3; resume r1 | 1,2 | 503 |
      | they are released afterwards | add a v1; start 2; begin; add b v2; other; kill; start 2; remove a; wait 2.5; resume r1 | 1,2 | 503 |
      | the new version has not been used yet | add a v1; start 2; begin; add b v2; remove a; kill; start 2; wait 2.3; resume r1 | 1,2 | 503 |
      | three resumptions in a row | add a v1; start 2; begin; add b v2; other; remove a; kill; start 2; wait 2.3; resume r1; resume r1; resume r2 | 1,2 | 503 |
      | half of the endpoints were released, and both versions serve | add a v1; start 2; begin; add b v2; other; kill; start 2; resume r1 | 1,2 | 503 |

    Examples: while gateways live
      | case | events | ids | last |
      | a second resumption that names the first one | add a v1; start 4; begin; add b v2; other; kill own; steps; resume r1; kill own; resume r2 | 1,2,3,4 | 200 |
      | a second resumption after the route's timeout | add a v1; start 4; begin; add b v2; other; kill own; wait 1.2; steps; resume r1; kill own; wait 1.2; resume r1 | 1,2,3,4 | 200 |
      | the route's timeout was shortened | add a v1; start 1; begin; add b v2; other; remove a; timeout 0.3; wait 0.6; resume none | 1,2 | 503 |
      | an ordinary release | add a v1; start 4; begin; add b v2; add c v1; rests; kill own; remove a; resume r1 | 1,2,3,4 | 200 |
      | an endpoint had started again with newer software when its stream began | add a v1; start 4; secret a v2; begin; add c v1; rests; list a; wait 0.2; kill own; resume r1 | 1,2 | 503 |
      | a peer had found no process there, and the entry is not replaced yet | add a v1; start 4; refuse a; wait 1.2; secret a v2; begin; add c v1; rests; kill own; resume r1 | 1,2 | 503 |

    Examples: within one answer
      | case | events | ids | last |
      | an endpoint had started again with newer software when its stream began | add a v1; start 1; secret a v2; begin; add c v1; rests; list a; wait 0.2; break a; wait 0.3 | 1,2 | cut |
      | an endpoint had refused connections, and its entry is not replaced yet | add a v1; start 1; refuse a; secret a v2; begin; add c v1; rests; wait 0.2; break a; wait 0.3 | 1,2 | cut |
      | an ordinary release | add a v1; start 1; begin; add b v2; add c v1; rests; wait 0.2; break a; wait 0.3 | 1,2,3,4 | 200 |

  # Guards against streams that are taken up at a gateway that has missed a release, and go on at
  # another version there.
  Scenario Outline: A gateway that is out of step while endpoints of another version join: <case>
    When versions: "<events>" happens
    Then versions: the client got events "<ids>", all of one version, and its last answer was "<last>"

    Examples:
      | case | events | ids | last |
      | cut off from the store, its peers relay the list | add a v1; start 3; other; storeless; remove a; add b v2; add c v2; wait 0.6; begin; add d v1; rests; kill own; resume r1 | 1,2,3,4 | 200 |
      | cut off from its peers | add a v1; start 3; other; remove a; add b v2; add c v2; silent; begin; add d v1; rests; kill own; resume r1 | 1,2 | 503 |
      | cut off from both | add a v1; start 3; other; storeless; silent; remove a; add b v2; add c v2; begin; add d v1; rests; kill own; resume r1 | 1,2 | 503 |
      | started anew, with peers that know the stream | add a v1; start 4; other; remove a; add b v2; add c v2; begin; add d v1; rests; kill own; start 1; kill first; kill first; resume r1 | 1,2,3,4 | 200 |

  # Guards against requests that fail while a version is being registered, and against calls to the
  # store that a deployment with one version does not need.
  Scenario: Gateways that start together register the version once, and only read it later
    When versions: 3 gateways start together, get a request each, are killed and start again
    Then versions: all requests were answered
    And versions: the register was written once, and read once by each process

  Scenario: A stream that can't be continued is logged and counted with its cause
    When versions: "add a v1; start 1; begin; add b v2; other; break a; remove a; wait 0.2; resume r9; metrics" happens
    Then versions: the metrics count it as rejected because "several software versions may have begun the stream"
    And versions: the log names attempt "r9", registered "v1 v2" and that reason

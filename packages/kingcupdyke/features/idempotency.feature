Feature: Non-idempotent work runs at most once

  # A and B are sidecars. A.submit sends the same key there, as attempt A1, A2, ...; A.ok, A.down,
  # A.lost_done, A.lost_undone and A.lost_late carry out A's next store call with that fate;
  # A.all carries out all; "late" lets lost writes arrive; wait=S moves the time.

  Scenario Outline: A key runs at most once and refusals are true: <case>
    When idempotency plays "<script>"
    Then idempotency gave "<results>"
    And idempotency ran <runs>

    Examples: at once and again
      | case                         | script                                                                  | results                   | runs |
      | two keys of one bucket       | A.submit B.submit=b,l A.ok B.ok A.ok B.all A.run=A1 B.run=B1            | A1=Claimed B1=Claimed     | A1 B1 |
      | two gateways at once         | A.submit B.submit A.ok B.ok A.ok B.ok B.all A.run=A1 B.run=B1           | A1=Claimed B1=StillRunning | A1  |
      | both at one sidecar          | A.submit A.submit A.all A.run=A1 A.run=A2                               | A1=Claimed A2=StillRunning | A1  |
      | repeat after the answer      | A.submit A.all A.run=A1 A.finish=A1 A.all B.submit B.all                | A1=Claimed B1=Replay      | A1   |
      | repeat after a failed run    | A.submit A.all A.run=A1 A.failed=A1 A.all B.submit B.all                | A1=Claimed B1=Replay      | A1   |
      | both, in an outage           | A.submit A.submit A.ok A.down A.run=A1 A.run=A2                         | A1=Unclaimed A2=Unclaimed | none |
      | again after its retention    | A.submit A.all A.run=A1 A.finish=A1 A.all wait=90000 B.submit B.all     | A1=Claimed B1=Claimed     | A1   |
      | attempt delivered long after | A.submit A.all A.run=A1 wait=700 A.all A.again=A1 A.all                 | A1=StillRunning           | A1   |
      | refused, delivered long after | A.submit A.all wait=700 A.run=A1 A.all A.again=A1 A.all A.run=A1       | A1=Unclaimed              | none |
      | answered beside a claim      | A.submit A.all A.run=A1 A.finish=A1 A.all A.submit A.submit=b,l A.ok    | A1=Claimed A2=Replay      | A1   |
      | attempt delivered twice      | A.submit A.all A.again=A1 A.all A.run=A1 A.run=A1                       | A1=StillRunning           | A1   |
      | twice in one update          | A.submit A.again=A1 A.all A.run=A1                                      | A1=Claimed                | A1   |
      | refused attempt comes again  | A.submit A.down A.all A.again=A1 A.all A.run=A1                         | A1=Unclaimed              | none |
      | another body                 | A.submit A.all A.run=A1 B.submit=other B.all                            | A1=Claimed B1=KeyReused   | A1   |
      | another body at once         | A.submit A.submit=other A.all A.run=A1 A.run=A2                         | A1=Claimed A2=KeyReused   | A1   |
      | another body, answered       | A.submit A.all A.run=A1 A.finish=A1 A.all A.submit=other A.all          | A1=Claimed A2=KeyReused   | A1   |
      | another body, not run        | A.submit A.all A.lose=A1 A.all A.submit=other A.all                     | A1=Claimed A2=KeyReused   | none |

    Examples: deaths and pauses
      | case                         | script                                                                  | results                   | runs |
      | gateway died in the run      | A.submit A.all A.run=A1 B.submit B.all A.finish=A1 A.all B.submit B.all | A1=Claimed B1=StillRunning B2=Replay | A1 |
      | sidecar died in the run      | A.submit A.all A.run=A1 A.die B.submit B.all                            | A1=Claimed B1=StillRunning | A1  |
      | repeat at its successor      | A.submit A.all A.run=A1 A.die A.submit A.all                            | A1=Claimed A2=UnknownRun  | A1   |
      | its death is known           | A.submit A.all A.run=A1 A.die B.gone=A-1 B.submit B.all                 | A1=Claimed B1=UnknownRun  | A1   |
      | long after its death         | A.submit A.all A.run=A1 A.die wait=700 B.submit B.all                   | A1=Claimed B1=UnknownRun  | A1   |
      | back end lost in the run     | A.submit A.all A.run=A1 A.lose=A1 A.all B.submit B.all                  | A1=Claimed B1=UnknownRun  | A1   |
      | killed after it was accepted | A.submit A.all A.die wait=700 B.submit B.all                            | A1=Claimed B1=UnknownRun  | none |
      | killed with a write out      | A.submit A.ok A.die late A.submit A.all B.submit B.all                  | A2=UnknownRun B1=StillRunning | none |
      | holder sleeps and wakes      | A.submit A.all wait=700 B.submit B.all A.run=A1 B.run=B1                | A1=Claimed B1=UnknownRun  | none |
      | sleeper's key is free again  | A.submit A.all wait=700 A.run=A1 A.all B.submit B.all B.run=B1          | A1=Claimed B1=Claimed     | B1   |
      | claimer sleeps before it writes | A.submit A.ok B.submit B.all B.run=B1 wait=700 A.all A.run=A1        | A1=StillRunning B1=Claimed | B1  |
      | refusal lost on the way      | A.submit A.all A.lose=A1 A.all B.submit B.all B.run=B1                  | A1=Claimed B1=Claimed     | B1   |
      | settling was not in time     | A.submit A.all A.lose=A1 B.submit B.all                                 | A1=Claimed B1=StillRunning | none |

    Examples: the store
      | case                         | script                                                                  | results                   | runs |
      | outage                       | A.submit A.down A.run=A1                                                | A1=Unclaimed              | none |
      | outage at the write          | A.submit A.ok A.down A.all A.run=A1 B.submit B.all B.run=B1             | A1=Unclaimed B1=Claimed   | B1   |
      | answer lost, write done      | A.submit A.ok A.lost_done A.all A.run=A1 B.submit B.all                 | A1=Claimed B1=StillRunning | A1  |
      | answer lost, write not done  | A.submit A.ok A.lost_undone A.all A.run=A1                              | A1=Claimed                | A1   |
      | answer lost, write comes late | A.submit A.ok A.lost_late A.ok late A.all A.run=A1                     | A1=Claimed                | A1   |
      | lost, overtaken by another   | A.submit A.ok A.lost_late B.submit B.all late A.all A.run=A1 B.run=B1   | A1=StillRunning B1=Claimed | B1  |
      | lost, then outage            | A.submit A.ok A.lost_done A.down A.run=A1 B.submit B.all                | A1=Unclaimed B1=StillRunning | none |
      | lost, outage, settled        | A.submit A.ok A.lost_done A.down A.all A.run=A1 B.submit B.all B.run=B1 | A1=Unclaimed B1=Claimed   | B1   |
      | write comes before settling  | A.submit A.ok A.lost_late A.down late A.all B.submit B.all B.run=B1     | A1=Unclaimed B1=Claimed   | B1   |
      | write comes after settling   | A.submit A.ok A.lost_late A.down A.all late B.submit B.all B.run=B1     | A1=Unclaimed B1=Claimed   | B1   |
      | answer lost again and again  | A.submit A.ok A.lost_undone A.ok A.lost_undone A.ok A.lost_late late A.all A.run=A1 B.submit B.all B.run=B1 | A1=Unclaimed B1=Claimed | B1 |
      | settling's answer lost       | A.submit A.all A.run=A1 A.finish=A1 A.ok A.lost_done A.down A.all B.submit B.all | A1=Claimed B1=Replay | A1 |
      | settling in an outage        | A.submit A.all A.run=A1 A.finish=A1 A.down B.submit B.all A.all B.submit B.all | A1=Claimed B1=StillRunning B2=Replay | A1 |
      | a claim shows that it is back | A.submit A.all A.lose=A1 A.down A.submit=b,m A.ok A.ok A.ok A.ok B.submit B.all | A1=Claimed A2=Claimed B1=Claimed | none |
      | late write after a rival's refusal | A.submit A.all A.lose=A1 A.all B.submit B.ok B.lost_late B.down B.all late A.submit A.all A.run=A2 | A1=Claimed B1=Unclaimed A2=Claimed | A2 |

  Scenario: A recorded answer is given back whole
    When idempotency plays "A.submit A.all A.run=A1 A.finish=A1 A.all B.submit B.all"
    Then idempotency replays status 200 with "booked" to B1

  Scenario: A recorded answer whose body was dropped is not given back as an empty one
    When idempotency plays "A.submit A.all A.run=A1 A.finish_long=A1 A.all B.submit B.all"
    Then idempotency gave "A1=Claimed B1=UnknownRun"

  Scenario: A refusal in an outage is "not run" at step "claim" and says when to come back
    When idempotency plays "A.submit A.down"
    Then idempotency refuses A1 as "not_run" at "claim" with a time to come back

  Scenario: A bucket that stays contended refuses truly in the end
    When idempotency loses 16 races for a claim
    Then idempotency refuses the claim with nothing to settle

  Scenario: A full bucket refuses claims and still takes what is to be settled
    When idempotency claims in a bucket that is full and settles a record there
    Then idempotency refuses the claim and writes the settlement

  Scenario Outline: A settled record never says less than before: <stored> then <settled>
    When idempotency settles a record in state "<stored>" of <holder> attempt as "<settled>"
    Then idempotency leaves it in state "<kept>"

    Examples:
      | stored   | holder  | settled  | kept     |
      | claimed  | its own | not_run  | not_run  |
      | claimed  | its own | unknown  | unknown  |
      | not_run  | its own | answered | answered |
      | answered | its own | not_run  | answered |
      | unknown  | its own | not_run  | unknown  |
      | claimed  | another | not_run  | claimed  |
      | claimed  | another | answered | claimed  |
      | answered | another | unknown  | answered |
      | claimed  | a namesake | answered | claimed |

  Scenario: At most once under any order of losses, outages, deaths and pauses
    Then idempotency keeps its promises in the state machine

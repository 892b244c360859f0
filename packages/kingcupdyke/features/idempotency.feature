Feature: Non-idempotent requests run at most once

  # A and B are sidecars. A.submit=BODY,KEY sends a request to A, as attempt A1, A2, ...; A.ok,
  # A.down, A.lost_done, A.lost_undone and A.lost_late execute A's next store command with that
  # outcome; A.all executes all commands; "late" delivers the writes that are late; wait=S lets S
  # seconds pass. A.run, A.finish and A.failed send an attempt to the back end and answer it, A.lose
  # ends it without an answer, A.again=A1 delivers it again, A.die restarts the sidecar.

  Scenario Outline: A key runs at most once and a rejected attempt never runs: <case>
    When idempotency runs the script "<script>"
    Then idempotency returned "<results>"
    And idempotency ran <runs>

    Examples: concurrent and duplicate requests
      | case                         | script                                                                  | results                   | runs |
      | two keys of one bucket       | A.submit B.submit=b,l A.ok B.ok A.ok B.all A.run=A1 B.run=B1            | A1=Claimed B1=Claimed     | A1 B1 |
      | two gateways concurrently    | A.submit B.submit A.ok B.ok A.ok B.ok B.all A.run=A1 B.run=B1           | A1=Claimed B1=StillRunning | A1  |
      | both at one sidecar          | A.submit A.submit A.all A.run=A1 A.run=A2                               | A1=Claimed A2=StillRunning | A1  |
      | duplicate after the answer   | A.submit A.all A.run=A1 A.finish=A1 A.all B.submit B.all                | A1=Claimed B1=Replay      | A1   |
      | duplicate after a failed run | A.submit A.all A.run=A1 A.failed=A1 A.all B.submit B.all                | A1=Claimed B1=Replay      | A1   |
      | both at one sidecar, outage  | A.submit A.submit A.ok A.down A.run=A1 A.run=A2                         | A1=Unclaimed A2=Unclaimed | none |
      | duplicate after retention    | A.submit A.all A.run=A1 A.finish=A1 A.all wait=90000 B.submit B.all     | A1=Claimed B1=Claimed     | A1   |
      | attempt delivered long after | A.submit A.all A.run=A1 wait=700 A.all A.again=A1 A.all                 | A1=StillRunning           | A1   |
      | rejected, delivered long after | A.submit A.all wait=700 A.run=A1 A.all A.again=A1 A.all A.run=A1       | A1=Unclaimed              | none |
      | replay beside a new claim    | A.submit A.all A.run=A1 A.finish=A1 A.all A.submit A.submit=b,l A.ok    | A1=Claimed A2=Replay      | A1   |
      | attempt delivered twice      | A.submit A.all A.again=A1 A.all A.run=A1 A.run=A1                       | A1=StillRunning           | A1   |
      | twice in one update          | A.submit A.again=A1 A.all A.run=A1                                      | A1=Claimed                | A1   |
      | rejected attempt delivered again | A.submit A.down A.all A.again=A1 A.all A.run=A1                         | A1=Unclaimed              | none |
      | another body                 | A.submit A.all A.run=A1 B.submit=other B.all                            | A1=Claimed B1=KeyReused   | A1   |
      | another body concurrently    | A.submit A.submit=other A.all A.run=A1 A.run=A2                         | A1=Claimed A2=KeyReused   | A1   |
      | another body, answered       | A.submit A.all A.run=A1 A.finish=A1 A.all A.submit=other A.all          | A1=Claimed A2=KeyReused   | A1   |
      | another body, not run        | A.submit A.all A.lose=A1 A.all A.submit=other A.all                     | A1=Claimed A2=KeyReused   | none |

    Examples: processes that die or are paused
      | case                         | script                                                                  | results                   | runs |
      | gateway died in the run      | A.submit A.all A.run=A1 B.submit B.all A.finish=A1 A.all B.submit B.all | A1=Claimed B1=StillRunning B2=Replay | A1 |
      | sidecar died in the run      | A.submit A.all A.run=A1 A.die B.submit B.all                            | A1=Claimed B1=StillRunning | A1  |
      | duplicate at its successor   | A.submit A.all A.run=A1 A.die A.submit A.all                            | A1=Claimed A2=UnknownRun  | A1   |
      | its death is known           | A.submit A.all A.run=A1 A.die B.gone=A-1 B.submit B.all                 | A1=Claimed B1=UnknownRun  | A1   |
      | long after its death         | A.submit A.all A.run=A1 A.die wait=700 B.submit B.all                   | A1=Claimed B1=UnknownRun  | A1   |
      | back end lost in the run     | A.submit A.all A.run=A1 A.lose=A1 A.all B.submit B.all                  | A1=Claimed B1=UnknownRun  | A1   |
      | killed after it was accepted | A.submit A.all A.die wait=700 B.submit B.all                            | A1=Claimed B1=UnknownRun  | none |
      | killed with a write in flight | A.submit A.ok A.die late A.submit A.all B.submit B.all                  | A2=UnknownRun B1=StillRunning | none |
      | holder pauses and resumes    | A.submit A.all wait=700 B.submit B.all A.run=A1 B.run=B1                | A1=Claimed B1=UnknownRun  | none |
      | paused holder frees the key  | A.submit A.all wait=700 A.run=A1 A.all B.submit B.all B.run=B1          | A1=Claimed B1=Claimed     | B1   |
      | sidecar pauses before its claim is written | A.submit A.ok B.submit B.all B.run=B1 wait=700 A.all A.run=A1        | A1=StillRunning B1=Claimed | B1  |
      | rejected, the rejection is lost | A.submit A.all A.lose=A1 A.all B.submit B.all B.run=B1                  | A1=Claimed B1=Claimed     | B1   |
      | duplicate before settling    | A.submit A.all A.lose=A1 B.submit B.all                                 | A1=Claimed B1=StillRunning | none |

    Examples: the store
      | case                         | script                                                                  | results                   | runs |
      | outage                       | A.submit A.down A.run=A1                                                | A1=Unclaimed              | none |
      | outage at the write          | A.submit A.ok A.down A.all A.run=A1 B.submit B.all B.run=B1             | A1=Unclaimed B1=Claimed   | B1   |
      | answer lost, write done      | A.submit A.ok A.lost_done A.all A.run=A1 B.submit B.all                 | A1=Claimed B1=StillRunning | A1  |
      | answer lost, write not done  | A.submit A.ok A.lost_undone A.all A.run=A1                              | A1=Claimed                | A1   |
      | answer lost, write arrives late | A.submit A.ok A.lost_late A.ok late A.all A.run=A1                     | A1=Claimed                | A1   |
      | lost, another claims first   | A.submit A.ok A.lost_late B.submit B.all late A.all A.run=A1 B.run=B1   | A1=StillRunning B1=Claimed | B1  |
      | lost, then outage            | A.submit A.ok A.lost_done A.down A.run=A1 B.submit B.all                | A1=Unclaimed B1=StillRunning | none |
      | lost, outage, settled        | A.submit A.ok A.lost_done A.down A.all A.run=A1 B.submit B.all B.run=B1 | A1=Unclaimed B1=Claimed   | B1   |
      | late write before settling   | A.submit A.ok A.lost_late A.down late A.all B.submit B.all B.run=B1     | A1=Unclaimed B1=Claimed   | B1   |
      | late write after settling    | A.submit A.ok A.lost_late A.down A.all late B.submit B.all B.run=B1     | A1=Unclaimed B1=Claimed   | B1   |
      | answers lost repeatedly      | A.submit A.ok A.lost_undone A.ok A.lost_undone A.ok A.lost_late late A.all A.run=A1 B.submit B.all B.run=B1 | A1=Unclaimed B1=Claimed | B1 |
      | settling's answer lost       | A.submit A.all A.run=A1 A.finish=A1 A.ok A.lost_done A.down A.all B.submit B.all | A1=Claimed B1=Replay | A1 |
      | settling in an outage        | A.submit A.all A.run=A1 A.finish=A1 A.down B.submit B.all A.all B.submit B.all | A1=Claimed B1=StillRunning B2=Replay | A1 |
      | a claim ends the backoff     | A.submit A.all A.lose=A1 A.down A.submit=b,m A.ok A.ok A.ok A.ok B.submit B.all | A1=Claimed A2=Claimed B1=Claimed | none |
      | late write after a rejection elsewhere | A.submit A.all A.lose=A1 A.all B.submit B.ok B.lost_late B.down B.all late A.submit A.all A.run=A2 | A1=Claimed B1=Unclaimed A2=Claimed | A2 |

  Scenario: A recorded answer is replayed completely
    When idempotency runs the script "A.submit A.all A.run=A1 A.finish=A1 A.all B.submit B.all"
    Then idempotency replays status 200 with "booked" to B1

  Scenario: A recorded answer whose body was dropped is not replayed as an empty one
    When idempotency runs the script "A.submit A.all A.run=A1 A.finish_long=A1 A.all B.submit B.all"
    Then idempotency returned "A1=Claimed B1=UnknownRun"

  Scenario: A rejection in an outage is "not run" at step "claim" and names a time to retry after
    When idempotency runs the script "A.submit A.down"
    Then idempotency rejects A1 as "not_run" at "claim" with a time to retry after

  Scenario: A claim is rejected after too many conflicts, with nothing to settle
    When idempotency gets 16 conflicts for a claim
    Then idempotency rejects the claim with nothing to settle

  Scenario: A full bucket rejects claims but still stores settlements
    When idempotency claims in a bucket that is full and settles a record there
    Then idempotency rejects the claim and writes the settlement

  Scenario Outline: A settled record never changes to a state of lower rank: <stored> then <settled>
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

  Scenario: Requests run at most once under random losses, outages, deaths and pauses
    Then idempotency keeps its invariants in the state machine

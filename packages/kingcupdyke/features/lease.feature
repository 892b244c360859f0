Feature: Only one process at a time holds the highest fencing number

  # The events are methods of LeaseScript in lease_script.py.

  Scenario Outline: <case>
    When lease: "<events>" happens to processes that renew a lease of 10 s every 3 s
    Then lease: p, q and r hold the numbers "<numbers>"

    Examples:
      | case | events | numbers |
      | a free lease is taken | advance p 1 | 1 - - |
      | others wait | advance p 1; advance q,r 8 | 1 - - |
      | the holder renews it | advance p,q,r 60 | 1 - - |
      | the holder dies, others wait for the expiry | advance p,q 5; advance q 8 | - - - |
      | the holder dies, another takes it | advance p,q 5; advance q 14 | - 2 - |
      | a new process counts from when it first sees the version | advance p 5; wait 60; advance q 9 | - - - |
      | two take it concurrently | advance p,q,r 5; wait 9; tick q,r; step q,r; step q,r | - 2 - |
      | the answer to the first write is lost | tick p; step p; lose; step p; advance p 1 | - - - |
      | a read resolves the lost answer | tick p; step p; lose; step p; advance p 5 | 1 - - |
      | the lost write never arrived and a rival takes it | tick p; step p; fail p; advance q 2; advance p 5 | - 1 - |
      | the answer to a renewal is lost | advance p 3; lose; advance p,q 60 | 1 - - |
      | a rival renews while answers are lost | advance q 1; tick p; lose; advance p,q 60 | - 1 - |
      | the store is down: the holder keeps it | advance p,q 5; down; advance p,q 60 | 1 - - |
      | the store is down: nobody takes it | down; advance p,q 60 | - - - |
      | after an outage a rival takes it, the holder detects it | advance p,q 5; down; advance p,q 30; up; advance q 4; advance p 4 | - 2 - |
      | the holder is paused, a rival takes it | advance p,q 5; advance q 20 | - 2 - |
      | the holder is paused, a rival takes it, it wakes | advance p,q 5; advance q 20; advance p,q 9 | - 2 - |
      | the holder is paused and must read and renew first | advance p 5; wait 20 | - - - |
      | the holder wakes and reads, but has not renewed | advance p 5; wait 20; tick p; step p | - - - |
      | the holder wakes, reads and renews | advance p 5; wait 20; tick p; step p,p | 1 - - |
      | the holder is paused for less than the lease | advance p 4; wait 6 | 1 - - |
      | the holder is paused in an outage | advance p 5; down; advance p 30; wait 20; advance p 9 | - - - |
      | the holder was paused in an outage that ended | advance p 5; down; advance p 30; wait 20; advance p 9; up; advance p 5 | 1 - - |
      | the answer to a renewal comes after a pause | advance p 3; tick p; execute p; advance q 30; answer p | - 2 - |
      | the answer to a renewal is delayed | advance p 3; tick p; execute p; delay_answer p 12 | - - - |
      | a process with the same name is restarted | advance p 5; restart p; advance p 9 | - - - |
      | a process with the same name waits for the expiry | advance p 5; restart p; advance p 20 | 2 - - |
      | the object is deleted | advance p 5; delete; advance p 5 | 2 - - |
      | the object is deleted and a rival takes it | advance p 4; delete; advance q 1; advance p 3 | - 1 - |
      | a new process releases it before it has read | tick p; release p; step p; expect_idle p 30 | - - - |
      | the holder releases it | advance p,q 5; release p; step p; advance q 4 | - 2 - |
      | the holder released it and does not take it again | advance p 5; release p; step p; expect_idle p 30 | - - - |
      | the holder releases it while an answer is in flight | advance p 3; tick p; release p; step p; expect_idle p 30 | - - - |

  Scenario: An answer without a command is ignored
    When lease: "stray p" happens to processes that renew a lease of 10 s every 3 s
    Then lease: p, q and r hold the numbers "- - -"

  Scenario: Two renewals must fit in the duration
    Then lease: a lease of 10 s that is renewed every 6 s is rejected

  Scenario: A lease record is decoded as it was encoded
    Then lease: a record is the same after decoding, and "no JSON" and "[]" are rejected

  Scenario Outline: A record of another writer is rejected: <fields>
    Then lease: the record with <fields> is rejected

    Examples:
      | fields |
      | "fence": "3" |
      | "fence": -1 |
      | "fence": 1e999 |
      | "duration_s": NaN |
      | "duration_s": null |
      | "owner": null |
      | "members": [1] |
      | "members": 3 |
      | "shoe_size": 42 |

  Scenario: Random ticks, pauses, lost answers and outages
    Then lease: no two processes hold the same number in any order of events

  Scenario: A waiting process reads a lease when it expires, not up to one read interval later
    When lease: another process's lease of 4.2 s is read every 0.8 s and never renewed
    Then lease: it is taken between 4.2 and 4.35 s

  # Guards against two holders that give orders within a few seconds of each other: the number was
  # used immediately when the answer to the taking write was lost, or after a restart.
  Scenario Outline: A number is not used until the previous holder's last use is long enough ago: <case>
    When lease: a lease that may be used 3 s after a hand-over is taken: <case>
    Then lease: it may be used <after> s after the first write that took it

    Examples:
      | case | after |
      | it was released | 3.0 |
      | it was released, and the answer to the write is lost | 3.0 |
      | it was released, and the process starts again immediately | 3.0 |
      | it was held by an earlier run that used it | 0.0 |
      | it has expired | 0.0 |
      | its object was deleted | 3.0 |

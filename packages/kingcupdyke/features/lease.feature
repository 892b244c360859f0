Feature: Only one process at a time holds the highest fencing number

  # The events are methods of LeaseScript in lease_script.py.

  Scenario Outline: <case>
    When lease: "<events>" happens to processes that renew a lease of 10 s every 3 s
    Then lease: p, q and r hold the numbers "<numbers>"

    Examples:
      | case | events | numbers |
      | a free lease is taken | live p 1 | 1 - - |
      | others wait | live p 1; live q,r 8 | 1 - - |
      | the holder renews it | live p,q,r 60 | 1 - - |
      | the holder dies, others wait for the expiry | live p,q 5; live q 8 | - - - |
      | the holder dies, another takes it | live p,q 5; live q 14 | - 2 - |
      | a new process counts from when it first sees the version | live p 5; wait 60; live q 9 | - - - |
      | two take it concurrently | live p,q,r 5; wait 9; tick q,r; do q,r; do q,r | - 2 - |
      | the answer to the first write is lost | tick p; do p; lose; do p; live p 1 | - - - |
      | a read resolves the lost answer | tick p; do p; lose; do p; live p 5 | 1 - - |
      | the lost write never arrived and a rival takes it | tick p; do p; fail p; live q 2; live p 5 | - 1 - |
      | the answer to a renewal is lost | live p 3; lose; live p,q 60 | 1 - - |
      | a rival renews while answers are lost | live q 1; tick p; lose; live p,q 60 | - 1 - |
      | the store is down: the holder keeps it | live p,q 5; down; live p,q 60 | 1 - - |
      | the store is down: nobody takes it | down; live p,q 60 | - - - |
      | after an outage a rival takes it, the holder detects it | live p,q 5; down; live p,q 30; up; live q 4; live p 4 | - 2 - |
      | the holder is paused, a rival takes it | live p,q 5; live q 20 | - 2 - |
      | the holder is paused, a rival takes it, it wakes | live p,q 5; live q 20; live p,q 9 | - 2 - |
      | the holder is paused and must read and renew first | live p 5; wait 20 | - - - |
      | the holder wakes and reads, but has not renewed | live p 5; wait 20; tick p; do p | - - - |
      | the holder wakes, reads and renews | live p 5; wait 20; tick p; do p,p | 1 - - |
      | the holder is paused for less than the lease | live p 4; wait 6 | 1 - - |
      | the holder is paused in an outage | live p 5; down; live p 30; wait 20; live p 9 | - - - |
      | the holder was paused in an outage that ended | live p 5; down; live p 30; wait 20; live p 9; up; live p 5 | 1 - - |
      | the answer to a renewal comes after a pause | live p 3; tick p; act p; live q 30; answer p | - 2 - |
      | the answer to a renewal is delayed | live p 3; tick p; act p; slow p 12 | - - - |
      | a process with the same name is restarted | live p 5; again p; live p 9 | - - - |
      | a process with the same name waits for the expiry | live p 5; again p; live p 20 | 2 - - |
      | the object is deleted | live p 5; delete; live p 5 | 2 - - |
      | the object is deleted and a rival takes it | live p 4; delete; live q 1; live p 3 | - 1 - |
      | a new process releases it before it has read | tick p; release p; do p; quiet p 30 | - - - |
      | the holder releases it | live p,q 5; release p; do p; live q 4 | - 2 - |
      | the holder released it and does not take it again | live p 5; release p; do p; quiet p 30 | - - - |
      | the holder releases it while an answer is in flight | live p 3; tick p; release p; do p; quiet p 30 | - - - |

  Scenario: An answer without a command is ignored
    When lease: "stray p" happens to processes that renew a lease of 10 s every 3 s
    Then lease: p, q and r hold the numbers "- - -"

  Scenario: Two renewals must fit in the duration
    Then lease: a lease of 10 s that is renewed every 6 s is rejected

  Scenario: A lease record is decoded as it was encoded
    Then lease: a record is the same after decoding, and "no JSON" and "[]" are rejected

  Scenario: Random ticks, pauses, lost answers and outages
    Then lease: no two processes hold the same number in any order of events

  Scenario: A waiting process reads a lease when it expires, not up to one read interval later
    When lease: another process's lease of 4.2 s is read every 0.8 s and never renewed
    Then lease: it is taken between 4.2 and 4.35 s

Feature: One process at a time proposes with the highest fencing number

  Scenario Outline: <case>
    When lease: "<events>" happens to processes that renew a lease of 10 s every 3 s
    Then lease: p, q and r hold the numbers "<numbers>"

    Examples:
      | case | events | numbers |
      | the first one takes it | live p 1 | 1 - - |
      | others wait | live p 1; live q,r 8 | 1 - - |
      | the holder renews it | live p,q,r 60 | 1 - - |
      | the holder dies, others wait for the expiry | live p,q 5; live q 8 | - - - |
      | the holder dies, another takes it | live p,q 5; live q 14 | - 2 - |
      | a newcomer counts from when it first sees the version | live p 5; wait 60; live q 9 | - - - |
      | two take it at once | live p,q,r 5; wait 9; tick q,r; do q,r; do q,r | - 2 - |
      | the answer to the first write is lost | tick p; do p; lose; do p; live p 1 | - - - |
      | the lost answer is settled by reading | tick p; do p; lose; do p; live p 5 | 1 - - |
      | the lost write never arrived and a rival takes it | tick p; do p; fail p; live q 2; live p 5 | - 1 - |
      | the answer to a renewal is lost | live p 3; lose; live p,q 60 | 1 - - |
      | a rival renews while own answers are lost | live q 1; tick p; lose; live p,q 60 | - 1 - |
      | the store is down: the holder goes on | live p,q 5; down; live p,q 60 | 1 - - |
      | the store is down: nobody takes it | down; live p,q 60 | - - - |
      | after an outage a rival takes it, the holder learns it | live p,q 5; down; live p,q 30; up; live q 4; live p 4 | - 2 - |
      | the holder is paused, a rival takes it | live p,q 5; live q 20 | - 2 - |
      | the holder is paused, a rival takes it, it wakes | live p,q 5; live q 20; live p,q 9 | - 2 - |
      | the holder is paused and must read first | live p 5; wait 20 | - - - |
      | the holder wakes and reads, but has not renewed | live p 5; wait 20; tick p; do p | - - - |
      | the holder wakes, reads and renews | live p 5; wait 20; tick p; do p,p | 1 - - |
      | the holder is paused for less than the lease | live p 4; wait 6 | 1 - - |
      | the holder is paused in an outage | live p 5; down; live p 30; wait 20; live p 9 | - - - |
      | the holder was paused in an outage that ended | live p 5; down; live p 30; wait 20; live p 9; up; live p 5 | 1 - - |
      | the answer to a renewal comes after a pause | live p 3; tick p; act p; live q 30; answer p | - 2 - |
      | the answer to a renewal hangs | live p 3; tick p; act p; slow p 12 | - - - |
      | a process with the same name began again | live p 5; again p; live p 9 | - - - |
      | a process with the same name waits for the expiry | live p 5; again p; live p 20 | 2 - - |
      | the object is deleted | live p 5; delete; live p 5 | 2 - - |
      | the object is deleted and a rival takes it | live p 4; delete; live q 1; live p 3 | - 1 - |
      | a newcomer gives up before it has read | tick p; release p; do p; quiet p 30 | - - - |
      | the holder gives it back | live p,q 5; release p; do p; live q 4 | - 2 - |
      | the holder gave it back and takes it no more | live p 5; release p; do p; quiet p 30 | - - - |
      | the holder gives it back while an answer is on its way | live p 3; tick p; release p; do p; quiet p 30 | - - - |

  Scenario: An answer without a command changes nothing
    When lease: "stray p" happens to processes that renew a lease of 10 s every 3 s
    Then lease: p, q and r hold the numbers "- - -"

  Scenario: Two renewals must fit in the duration
    Then lease: one of 10 s that is renewed every 6 s is refused

  Scenario: A record is read back as it was written
    Then lease: a record is the same when read back, and "no JSON" and "[]" are refused

  Scenario: Random ticks, pauses, lost answers and outages
    Then lease: no two processes hold the same number in any order of events

  Scenario: One that waits for a lease looks at it when it expires, not up to a period later
    When lease: another one's lease of 4.2 s is read every 0.8 s and never renewed
    Then lease: it is taken between 4.2 and 4.35 s

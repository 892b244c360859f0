Feature: A register of software versions proves which version began a stream

  # Guards against joined answers: what a process has listed may be what is left of a release, not
  # what was there when the stream began.
  Scenario Outline: A stream without origin: <case>
    When versionregister: "<events>" happens
    Then versionregister: the version that began the stream is "<version>"

    Examples:
      | case | events | version |
      | just after a start, with one version | list v1; read v1 | v1 |
      | before the list is known | read v1 | v1 |
      | unknown, as nothing is registered | list v1; read | unknown |
      | unknown, as two versions are registered and the list has just been read | list v1; read v1,v2 | unknown |
      | unknown, as the list is not known for long enough | list v1; read v1,v2; wait 64; read v1,v2 | unknown |
      | the one that was listed, after the longest time of a stream | list v1; read v1,v2; wait 66; read v1,v2 | v1 |
      | unknown, as the other one was listed meanwhile | list v1,v2; read v1,v2; wait 66; list_change v2; wait 64; read v1,v2 | unknown |
      | after the longest time without it | list v1,v2; read v1,v2; wait 66; list_change v2; wait 66; read v1,v2 | v1 |
      | unknown, as the list was read anew after an outage | list v1; read v1,v2; wait 66; list v1; wait 60; read v1,v2 | unknown |
      | unknown, as changes of the list are missing | list v1; read v1,v2; wait 66; gap; wait 100; read v1,v2 | unknown |
      | unknown, as a route's longer timeout was in force before | timeout 100; list v1; read v1,v2; timeout 1; wait 104; read v1,v2 | unknown |
      | after a route's longer timeout | timeout 100; list v1; read v1,v2; timeout 1; wait 106; read v1,v2 | v1 |
      | unknown, as a caller's timeout was longer | caller 100; list v1; read v1,v2; wait 104; read v1,v2 | unknown |
      | unknown, as the other one was registered while this gateway did not hear of it | list v1; read v1; wait 70; read v1,v2 | unknown |
      | unknown, as the register has lost a version that is listed | list v1,v2; read v1 | unknown |
      | unknown, as only a version is listed that is not registered | list v2; read | unknown |
      | unknown, as a version is about to be removed | list v1; read v1,v2-; wait 1; read v1,v2- | unknown |
      | unknown, as a stream can last longer than versions are remembered | timeout 4000; list v1; read v1,v2; wait 4100; read v1,v2 | unknown |

  # Guards against streams that begin at a version which the register does not name.
  Scenario Outline: A stream begins: <case>
    When versionregister: "<events>" happens
    Then versionregister: streams may begin at "<usable>", and "<wanted>" are to be added

    Examples:
      | case | events | usable | wanted |
      | nowhere, before the register was read | list v1; begin | | v1 |
      | at the registered version | list v1; read v1; begin | v1 | |
      | at the registered version, until the other one is added | list v1,v2; read v1; begin | v1 | v2 |
      | at both, once both are registered | list v1,v2; read v1; begin; read v1,v2; begin | v1 v2 | |
      | not at one that is about to be removed | list v1,v2; read v1,v2-; begin | v1 | v2 |
      | not at one that the store has lost in an outage | list v1,v2; read v1,v2; begin; read v1; begin | v1 | v2 |
      | one that the store has lost is added again without a request | list v1,v2; read v1,v2; read v1 | | v2 |
      | at none, until the register was checked after an outage | list v1; read v1; suspend; begin | | |
      | as before, if the store is unavailable again | list v1; read v1; suspend; resume; begin | v1 | |
      | not at one that was not listed for a while, as it may have been removed | list v1,v2; read v1,v2; list_change v2; wait 66; forget; list v1,v2; begin | v1 | v2 |

  # Guards against a register that grows with each release, and against removing a version in use.
  Scenario Outline: A version is removed: <case>
    When versionregister: "<events>" happens
    Then versionregister: the register is "<register>"

    Examples:
      | case | events | register |
      | not while it is listed | list v1,v2; read v1,v2; wait 700; prune | v1,v2 |
      | not before ten minutes | list v1,v2; read v1,v2; list_change v2; wait 599; prune | v1,v2 |
      | first it is announced | list v1,v2; read v1,v2; list_change v2; wait 601; prune | v1,v2- |
      | not soon after that | list v1,v2; read v1,v2; list_change v2; wait 601; prune; wait 29; prune | v1,v2- |
      | not at once by another gateway than the one that announced it | list v1,v2; read v1,v2; list_change v2; wait 601; write v1,v2-; prune | v1,v2- |
      | then it is removed | list v1,v2; read v1,v2; list_change v2; wait 601; prune; wait 31; prune | v1 |
      | not if it is listed again meanwhile | list v1,v2; read v1,v2; list_change v2; wait 601; prune; put v2; wait 31; prune | v1,v2- |
      | not if another gateway has added it again | list v1,v2; read v1,v2; list_change v2; wait 601; prune; wait 31; write v1,v2; prune | v1,v2- |
      | not if changes of the list were missing | list v1,v2; read v1,v2; list_change v2; wait 300; gap; list v1; wait 301; prune | v1,v2 |
      | not within the longest time of a stream | timeout 900; list v1,v2; read v1,v2; list_change v2; wait 901; prune | v1,v2 |

  Scenario: A register is the same when decoded, and other bytes are rejected
    Then versionregister: registers are decoded as they were encoded, and other bytes are rejected

  # Guards against a version taken from the entry of an earlier process of the endpoint.
  Scenario Outline: The process that began a stream: <case>
    When versionregister: "<events>" happens
    Then versionregister: a stream that e1 began at start 1 and second <at> has a <known> process

    Examples:
      | case | events | at | known |
      | while the endpoint is not listed with another start | start 1 1; wait 9 | 5 | certain |
      | more than 3 s before the last heartbeat | start 1 1; wait 9; start 1 2; wait 1; start 2 1 | 6 | certain |
      | less than 3 s before the last heartbeat | start 1 1; wait 9; start 1 2; wait 1; start 2 1 | 6.1 | uncertain |
      | after the last heartbeat | start 1 1; wait 9; start 1 2; wait 1; start 2 1 | 9.5 | uncertain |
      | before a heartbeat in a list that may be old | start 1 1; wait 9; copy 1 2; wait 1; start 2 1 | 1 | uncertain |
      | two starts ago | start 1 1; wait 9; start 1 2; start 2 1; start 3 1 | 1 | uncertain |
      | an earlier entry that comes late changes nothing | start 1 1; wait 9; start 1 2; start 2 1; start 1 9 | 7 | uncertain |

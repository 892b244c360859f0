Feature: Gateways find the parts of prompts that crash endpoints

  In an event, "1 e1 a-x-l1*" is a crash of e1 at second 1 with the prompt of these parts, whose answer is just beginning, and
  "2 + a-b" is an answer that goes on at second 2. Reports of the same endpoint are of one crash.

  Scenario: A message is the same when decoded
    Then crashtable: a full message is the same when decoded

  Scenario Outline: Bytes that are no valid message are rejected: <bytes>
    Then crashtable: "<bytes>" is rejected

    Examples:
      | bytes |
      | x |
      | [] |
      | {} |
      | [] |
      | {"sender":"h","reports":[["e1",1,"ab",true,1.0]],"sound_parts":[]} |
      | {"sender":"h","reports":[["e1","x",["a"],true,1.0]],"sound_parts":[]} |
      | {"sender":"h","reports":[["e1",1,["a"],true]],"sound_parts":[]} |
      | {"sender":"h","reports":[],"sound_parts":[["a"]]} |

  Scenario Outline: <case>
    When crashtable: the events are "<events>"
    Then crashtable: the signatures are "<signatures>"
    And crashtable: the rejected prompts of "a-x-l9, a-y-l8, a-l7, x-l6" are "<rejected>"

    Examples:
      | case | events | signatures | rejected |
      | two crashes are no cause yet | 1 e1 a-x-l1*, 2 e2 a-x-l2* | | |
      | a part at three crashes is their cause, and a part that is answered is not | 1 e1 a-x-l1*, 2 e2 a-x-l2*, 3 e3 a-x-l3*, 4 + a-y | x | a-x-l9, x-l6 |
      | parts that always come together mark prompts only together | 1 e1 a-x-l1*, 2 e2 a-x-l2*, 3 e3 a-x-l3* | a-x | a-x-l9 |
      | a request that is repeated marks only itself | 1 e1 a-x-l1*, 2 e2 a-x-l1*, 3 e3 a-x-l1* | a-l1-x | |
      | another request shows which part of a repeated one it is | 1 e1 a-x-l1*, 2 e2 a-x-l1*, 3 e3 a-x-l1*, 3.5 + a, 4 e4 x-l2* | x | a-x-l9, x-l6 |
      | crashes at the same moment are one | 1 e1 a-x-l1*, 1.1 e2 a-x-l2*, 1.3 e3 a-x-l3* | | |
      | several requests at one crash are one crash | 1 e1 a-x-l1*, 1 e1 a-x-l2*, 1 e1 a-x-l3* | | |
      | a part that is answered in between is not the cause | 1 e1 a-y-l1*, 2 + y, 3 e2 a-y-l2*, 4 + y-a, 5 e3 a-y-l3* | | |
      | a part that begins to crash endpoints after it was answered is the cause | 1 + x, 2 e1 a-x-l1*, 3 e2 a-x-l2*, 4 e3 a-x-l3*, 5 + a | x | a-x-l9, x-l6 |
      | other prompts at the crashed endpoints are not the cause | 1 e1 a-x-l1*, 1 e1 a-y-l4, 2 e2 a-x-l2*, 2 e2 a-y-l4, 3 e3 a-x-l3*, 3 e3 a-y-l4 | a-x | a-x-l9 |
      | nor are they if one of them has begun too | 1 e1 a-x-l1*, 1 e1 y-l4*, 2 e2 a-x-l2*, 2 e2 y-l5, 3 e3 a-x-l3*, 3 e3 y-l6 | a-x | a-x-l9 |
      | nor are they if there are fewer of them | 1 e1 a-x-l1*, 1 e1 a-x-l2*, 1 e1 b-y-l4, 2 e2 a-x-l3*, 2 e2 b-y-l5, 3 e3 a-x-l6*, 3 e3 b-y-l7 | a-x | a-x-l9 |
      | reports of one crash at several times are one crash | 1 e1 a-x-l1*, 2 e1 a-x-l2*, 3 e1 a-x-l3* | | |
      | nor are they if no answer had begun | 1 e1 a-x-l1, 1 e1 a-y-l4, 2 e2 a-x-l2, 2 e2 y-l4, 3 e3 a-x-l3, 3 e3 y-l4, 4 + a | x | a-x-l9, x-l6 |
      | two parts can crash endpoints at the same time | 1 e1 a-x-l1*, 1.7 e4 a-y-l4*, 2 e2 a-x-l2*, 2.7 e5 a-y-l5*, 3 e3 a-x-l3*, 3.7 e6 a-y-l6*, 4 + a | x, y | a-x-l9, a-y-l8, x-l6 |
      | crashes of other prompts in between change nothing | 1 e1 a-x-l1*, 2 e2 a-b-l4*, 3 e3 a-x-l2*, 4 e4 a-c-l5*, 5 e5 a-x-l3*, 6 + a | x | a-x-l9, x-l6 |

  Scenario Outline: After <seconds> s a cause of crashes is <state>
    When crashtable: the events are "1 e1 x-l1*, 2 e2 x-l2*, 4 e3 x-l3*"
    Then crashtable: after <seconds> s "x-l9" is <state>

    Examples:
      | seconds | state |
      | 4 | rejected |
      | 600 | rejected |
      | 602 | sent |

  Scenario: A later crash prolongs the rejection
    When crashtable: the events are "1 e1 x-l1*, 2 e2 x-l2*, 4 e3 x-l3*, 601.5 e4 x-l4*"
    Then crashtable: after 601.8 s "x-l9" is rejected
    And crashtable: after 603 s "x-l9" is sent

  Scenario: Tables that have the same reports in any order agree
    Then crashtable: 200 random orders of reports and answers, with repeats, give the same signatures

  Scenario: The reports behind a signature are kept longest
    When crashtable: the events are "1 e1 x-l1*, 2 e2 x-l2*, 4 e3 x-l3*"
    And crashtable: 2000 other requests are at crashes
    Then crashtable: after 5 s "x-l9" is rejected
    And crashtable: at most 512 reports are kept

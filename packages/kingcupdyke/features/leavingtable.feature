Feature: A gateway remembers which processes of endpoints leave

  Scenario Outline: <case>
    When leavingtable: "<events>" happens
    Then leavingtable: the table knows "<known>"

    Examples:
      | case | events | known |
      | an endpoint that has said so leaves | add e1 1 | e1 1 |
      | a later start of it does not | add e1 1; list e1 2 | e1 1 |
      | it is remembered for ten minutes after it was listed | add e1 1; list e1 1; wait 5000; list; wait 599; list | e1 1 |
      | and not longer | add e1 1; list; wait 600; list | |
      | what a peer says counts | tell e1 1 0 | e1 1 |
      | also of one that is not listed here | tell e1 1 0; list; wait 1; list | e1 1 |
      | but not of one that was listed ten minutes ago | tell e1 1 600 | |
      | two tables do not remind each other for ever | tell e1 1 0; list; wait 300; tell e1 1 300; wait 299; tell e1 1 599; wait 1; list | |
      | a peer's older view does not shorten the memory | add e1 1; list; wait 10; tell e1 1 500; wait 300; list | e1 1 |

  Scenario Outline: An entry in the table of endpoints: <case>
    When leavingtable: the table of endpoints gets the entries "<entries>"
    Then leavingtable: endpoint e1 is <state>

    Examples:
      | case | entries | state |
      | one that says so | 1 leaving | leaving |
      | one from before comes again | 1 leaving; 1 ready | leaving |
      | an older one says so | 1 ready 5; 1 leaving 4 | leaving |
      | one from before comes again after it was removed | 1 leaving; gone; 1 ready | leaving |
      | the endpoint has started again | 1 leaving; 2 ready | ready |
      | an answer said so | 1 ready; 1 said | leaving |
      | an answer said so, and the entry is written again | 1 ready; 1 said; 1 ready | leaving |
      | an answer of an earlier start said so | 1 ready; 2 ready; 1 said | ready |
      | a peer knew before the endpoint was listed | 1 said; 1 ready | leaving |

  Scenario Outline: A message: <case>
    Then leavingtable: a message with <change> is <result>

    Examples:
      | case | change | result |
      | complete | nothing changed | the same after decoding |
      | of 500 reports | 500 reports | shorter than a datagram |
      | no reports | no reports field | rejected |
      | a start that is no number | a wrong start | rejected |
      | another message | another kind | rejected |

Feature: Each answer is delivered whole and to its own request

  # The right answer has the parts "p0 p1 p2", of request r1 and attempt a1. A script lists the
  # messages received: "start", "0", "1" and "end3" belong to r1 and a1, "r2:0" to request r2 and
  # "a2:0" to attempt a2; "resume=a2" continues under attempt a2.

  Scenario Outline: Only parts of the expected answer are delivered, once and in order: <case>
    When answer receives "<script>"
    Then answer delivered "<delivered>", refused "<refused>" and is <state>

    Examples:
      | case                                | script                                       | delivered | refused               | state     |
      | whole                               | start 0 1 2 end3                             | p0 p1 p2  | none                  | complete  |
      | empty                               | start end0                                   | none      | none                  | complete  |
      | truncated                           | start 0 1                                    | p0 p1     | none                  | partial   |
      | truncated with an end mark          | start 0 1 end3                               | p0 p1     | end3                  | partial   |
      | end mark of a shorter answer        | start 0 1 2 end2                             | p0 p1 p2  | end2                  | partial   |
      | gap                                 | start 0 2 end3                               | p0        | 2 end3                | partial   |
      | duplicate parts                     | start 0 0 1 0 1 2 2 end3 end3                | p0 p1 p2  | none                  | complete  |
      | duplicate start                     | start 0 start 1 2 end3                       | p0 p1 p2  | none                  | complete  |
      | a status above all that HTTP has    | start=600 0 end1                             | none      | start=600 0 end1      | unstarted |
      | a status of 0                       | start=0 0 end1                               | none      | start=0 0 end1        | unstarted |
      | a status that comes before an answer | start=100 0 end1                            | none      | start=100 0 end1      | unstarted |
      | status changed                      | start 0 start=500 1                          | p0 p1     | start=500             | partial   |
      | part of another request             | start 0 r2:1 1 2 end3                        | p0 p1 p2  | r2:1                  | complete  |
      | start of another request            | r2:start                                     | none      | r2:start              | unstarted |
      | end of another request              | start 0 1 2 r2:end3                          | p0 p1 p2  | r2:end3               | partial   |
      | late messages of an earlier attempt | a0:start a0:0 start 0 a0:end1 1 2 end3       | p0 p1 p2  | a0:start a0:0 a0:end1 | complete  |
      | part before the start               | 0 start 0 1 2 end3                           | p0 p1 p2  | 0                     | complete  |
      | end before the start                | end0                                         | none      | end0                  | unstarted |
      | part after the end                  | start 0 1 2 end3 3                           | p0 p1 p2  | 3                     | complete  |
      | stalled mid-stream, then resumed    | start 0 1 resume=a1 start 2 end3             | p0 p1 p2  | none                  | complete  |
      | resumed one part too early          | start 0 1 resume=a1 start 1 2 end3           | p0 p1 p2  | none                  | complete  |
      | resumed under a new attempt         | start 0 resume=a2 a2:start a2:1 a2:2 a2:end3 | p0 p1 p2  | none                  | complete  |
      | stalled attempt sends again         | start 0 resume=a2 a2:1 1 2 end3 a2:2 a2:end3 | p0 p1 p2  | 1 2 end3              | complete  |
      | endpoint killed, never resumed      | start 0 1 resume=a2                          | p0 p1     | none                  | partial   |

  Scenario: The failure of a refused message names the step and the peer, with outcome "unknown"
    When answer receives "start r2:0"
    Then answer failed at step "relay" and peer "e1" with outcome "unknown"

  Scenario: Any order of late, duplicate and foreign messages delivers a prefix of the right answer
    Then answer keeps its invariants in the state machine

  Scenario Outline: A buffer returns the parts from an offset, or refuses dropped ones: <case>
    Given answer buffers parts "p0 p1 p2 p3" with space for <max> bytes
    When answer acknowledges <acknowledged> and resumes at <offset>
    Then answer gets "<parts>" back and buffers <held> bytes

    Examples:
      | case                 | max | acknowledged | offset | parts       | held |
      | from the start       | 100 | 0            | 0      | p0 p1 p2 p3 | 8    |
      | from the middle      | 100 | 0            | 2      | p2 p3       | 8    |
      | from the end         | 100 | 0            | 4      | none        | 8    |
      | past the end         | 100 | 0            | 5      | refused     | 8    |
      | acknowledged part    | 100 | 2            | 1      | refused     | 4    |
      | first part kept      | 100 | 2            | 2      | p2 p3       | 4    |
      | all acknowledged     | 100 | 9            | 4      | none        | 0    |
      | trimmed for its size | 5   | 0            | 1      | refused     | 4    |
      | kept for its size    | 5   | 0            | 2      | p2 p3       | 4    |

  Scenario: A buffer rejects parts after the end and counts dropped parts in the total
    Given answer buffers parts "p0 p1 p2 p3" with space for 5 bytes
    Then answer ends its buffer with 4 parts and then rejects a part

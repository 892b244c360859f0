Feature: Bytes without end from an endpoint use bounded memory and time

  Scenario Outline: Bytes without end in <case>
    When endless: "<request>" goes to an endpoint that sends "<script>" without end, and then to a sound one
    Then endless: the answer is "<answer>" within <seconds> s
    And endless: at most 24 MB have been used
    And endless: the connection to the endpoint is closed

    Examples:
      | case | request | script | answer | seconds |
      | a line of a head | GET /safe/1 | line | 200 e2 | 0.5 |
      | the lines of a head | GET /safe/1 | lines | 200 e2 | 0.5 |
      | a head of a request that may have run | POST /once/1 | line | 502 | 0.5 |
      | heads that announce another one | GET /safe/1 | continue | 200 e2 | 0.5 |
      | an answer to another request | GET /safe/1 | stray | 200 e2 | 0.5 |
      | an answer that says that it has not run | POST /once/1 | notrun | 200 e2 | 0.5 |
      | a slow answer that says that it has not run | POST /once/1 | slownotrun | 200 e2 | 0.8 |
      | a failure | GET /safe/1 | failure | 200 e2 | 0.5 |
      | a slow failure | GET /safe/1 | slowfailure | 200 e2 | 0.8 |
      | an event | GET /stream/1 | event | cut | 0.9 |
      | an event of a resumable stream | GET /resume/1 | event | 200 events 1,2,3,4 | 0.9 |
      | the size of a chunk | GET /stream/1 | chunk | cut | 0.5 |
      | a body, to a client that does not read it | GET /safe/1 | body | cut | 1.6 |
      | a body, to a client that reads it | GET /safe/1 | readbody | cut | 1.6 |
      | an event of a stream with a length | GET /resume/1 | sizedevent | cut | 0.9 |

  # Guards against endpoints that use up the memory of others' requests with many beginnings of events.
  Scenario Outline: With a memory limit of <limit> bytes, <case>
    When endless: with a memory limit of <limit> bytes, "<request>" goes to an endpoint that sends "<script>", and then to a sound one
    Then endless: the answer is "<answer>", and the fault counted is "<fault>"

    Examples:
      | limit | case | request | script | answer | fault |
      | 640000 | a beginning of an event over the endpoint's share breaks off | GET /resume/1 | event | 200 events 1,2,3,4 | memory used up |
      | 640000 | a body that is held back over the share breaks off | GET /safe/1 | half | 200 e2 | memory used up |
      | 64000000 | a beginning within the share breaks off by its length | GET /resume/1 | event | 200 events 1,2,3,4 | event too long |
      | 64000000 | a head without end counts as malformed | GET /safe/1 | line | 200 e2 | malformed |
      | 64000000 | answers to other requests count as stray | GET /safe/1 | stray | 200 e2 | stray |

  Scenario Outline: With a memory limit of <limit> bytes, what is held back of an endpoint counts: <case>
    When endless: with a memory limit of <limit> bytes, "<request>" goes to an endpoint that sends "<script>", and then to a sound one
    Then endless: the status of the answer is "<answer>"

    Examples:
      | limit | case | request | script | answer |
      | 64000000 | a failure within the share is kept | POST /once/1 | longfailure | 500 |
      | 640000 | a failure over the share is not kept | POST /once/1 | longfailure | 502 |

Feature: Slow clients get their whole answers, within a bound of memory, and delay nobody else

  # Guards against an answer that the endpoint cuts off as its client pauses.
  Scenario Outline: A client that pauses gets the whole answer of an endpoint that cuts off unread ones: <line>
    Given slowclients: an endpoint that cuts off an answer of 1000000 bytes that is unread for 0.5 s
    When slowclients: a client of "<line>" reads nothing for 3 s
    Then slowclients: the client gets the whole answer
    And slowclients: the endpoint has sent the whole answer, and is free, before the client reads
    And slowclients: the request ended after the client read again
    And slowclients: nothing is held

    Examples:
      | line |
      | GET /stream/1 |
      | GET /resume/1 |
      | GET /safe/1 |

  # Guards against a cost for clients that read at once.
  Scenario: Nothing is read ahead for a client that reads at once
    Given slowclients: an endpoint that cuts off an answer of 1000000 bytes that is unread for 0.5 s
    When slowclients: a client of "GET /stream/1" reads at once
    Then slowclients: the client gets the whole answer
    And slowclients: no answer was read ahead

  # Guards against memory that is held for clients that never read, and against an end that looks
  # complete.
  Scenario: A client that takes no byte is reset after 8 s, and other clients are not delayed
    Given slowclients: an endpoint that cuts off an answer of 1000000 bytes that is unread for 0.5 s
    When slowclients: a client of "GET /stream/1" never reads while others send requests
    Then slowclients: its memory is released 8 s to 9 s after it has stopped reading
    And slowclients: its connection is reset and its answer is not complete
    And slowclients: one aborted answer is counted and logged with the id of its request
    And slowclients: each other stream was complete within 0.5 s

  # Guards against the abort of a client that reads, but slowly.
  Scenario Outline: A client that reads <size> bytes every <pause> s is not reset
    Given slowclients: an endpoint that cuts off an answer of 400000 bytes that is unread for 0.5 s
    When slowclients: a client of "GET /stream/1" reads <size> bytes every <pause> s for 12 s
    Then slowclients: the client gets the whole answer

    Examples:
      | size | pause |
      | 500 | 0.3 |
      | 60000 | 3 |

  # Guards against a kernel that ends the connection of a client that pauses, before a write is slow.
  Scenario: A client that pauses during a slow stream gets the whole answer
    Given slowclients: an endpoint that sends 80000 bytes within 4 s
    When slowclients: a client of "GET /stream/1" reads nothing for 3 s
    Then slowclients: the client gets the whole answer
    And slowclients: no answer was read ahead

  # Guards against work at the endpoint for a client that is gone.
  Scenario Outline: After a client has left, its request at the endpoint ends: <case>
    Given slowclients: an endpoint that sends without end
    And slowclients: a budget of <budget> bytes
    When slowclients: a client of "GET /stream/1" reads nothing and leaves after 1 s
    Then slowclients: its answer was <case>
    And slowclients: the request at the endpoint ends within 0.5 s
    And slowclients: nothing is held

    Examples:
      | case | budget |
      | read ahead | 64000000 |
      | stopped | 1600000 |

  # Guards against an endpoint that looks unresponsive as its answer is not read.
  Scenario: An endpoint whose answer is stopped still serves others
    Given slowclients: an endpoint that sends without end
    And slowclients: a budget of 1600000 bytes
    When slowclients: a client of "GET /stream/1" reads nothing and leaves after 3 s
    Then slowclients: its answer was stopped
    And slowclients: the endpoint counted as reachable all the time

  # Guards against an answer that looks complete, or lacks events, when its endpoint breaks off while
  # the client is slow.
  Scenario Outline: The endpoint breaks off while the client is slow: <line>
    Given slowclients: an endpoint that breaks off after 500000 of 1000000 bytes, and another one
    When slowclients: a client of "<line>" reads nothing for 1 s
    Then slowclients: the client <outcome>

    Examples:
      | line | outcome |
      | GET /stream/1 | sees that its answer is not complete |
      | GET /resume/1 | gets the whole answer |

  # Guards against memory that grows with the number of slow clients.
  Scenario: The total held for many slow clients stays within the budget
    Given slowclients: a budget of 8000000 bytes
    When slowclients: 24 clients read answers of 1000000 bytes slowly
    Then slowclients: at most 8000000 bytes were held, and at least 3000000
    And slowclients: every client got its whole answer
    And slowclients: answers were stopped, and none counts as an error
    And slowclients: nothing is held

  # Guards against request bodies that exhaust the memory.
  Scenario Outline: A body that does not fit is rejected before it is read: <framing>
    Given slowclients: a budget of 12000 bytes
    When slowclients: while a body of 9000 bytes is in progress, another of 9000 bytes is announced with "<framing>"
    Then slowclients: the answer to it is 503 with Retry-After 0.5, and its connection is closed
    And slowclients: the rejection came before its body was sent
    And slowclients: the body is accepted once the first request has ended

    Examples:
      | framing |
      | content-length: 9000 |
      | content-length: 9000\r\nexpect: 100-continue |

  Scenario Outline: The memory of a body is released when <case>
    When slowclients: a request with a body of 9000 bytes ends as <case>
    Then slowclients: nothing is held

    Examples:
      | case |
      | the endpoint answers |
      | its client leaves while the endpoint works |
      | its client leaves before the body is sent |
      | it is too large |
      | its chunks do not fit |

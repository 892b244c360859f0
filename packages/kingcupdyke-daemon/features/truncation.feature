Feature: An answer that broke off never looks complete

  # Guards against half an answer that looks whole, as only the end of its connection marks its end
  # (rule MIXED).
  Scenario Outline: An answer up to the end of its connection: <case>
    Given truncation: an endpoint that sends <sent> and then <then>, and a sound one
    When truncation: a client sends a request that <kind>
    Then truncation: it gets <result>

    Examples:
      | case | sent | then | kind | result |
      | JSON that ends inside | half of its JSON | closes | may be repeated | the sound one's answer |
      | JSON that ends inside, of a process that has ended | half of its JSON | ends | may be repeated | the sound one's answer |
      | the same, for a request that runs once | half of its JSON | ends | runs once | status 502 |
      | whole JSON of a process that has ended | its whole JSON | ends | runs once | that JSON |
      | a number, which may go on | half of a number | ends | may be repeated | the sound one's answer |
      | text of a process that has ended | half of its text | ends | may be repeated | the sound one's answer |
      | the same, for a request that runs once | half of its text | ends | runs once | status 502 |
      | text of a process that goes on, which can't be told | its whole text | closes | runs once | that text |
      | no byte, of a process that has ended | no byte | ends | may be repeated | the sound one's answer |
      | long text of a process that has ended | half of a long text | ends | may be repeated | an answer that is not complete |
      | long text of a process that goes on | a long text | closes | may be repeated | that long text |
      | an answer without a body | status 204 | ends | may be repeated | status 204 |
      | a stream that ends between two events | two events | ends | may be resumed | all four events |
      | a stream that ends between two events, of a process that goes on | two events | closes | may be resumed | two events |

  # Guards against a success with an empty or short body when an endpoint stops inside its head.
  Scenario Outline: A head that is cut off at any byte is no answer: <case>
    Given truncation: an endpoint that cuts off its head at one byte after the other, <before>, with lines that end with <line end>
    When truncation: a client sends a request for each of them
    Then truncation: none gets a success

    Examples:
      | case | before | line end |
      | on a new connection | after nothing | CRLF |
      | on a new connection, other line ends | after nothing | LF |
      | after an announcement | after status 100 | CRLF |
      | after another announcement | after status 103 | LF |
      | after an answer to another attempt | after a stray answer | CRLF |
      | on a kept connection | after a whole answer | CRLF |

  Scenario Outline: A body that is shorter than announced is not complete: <framing>
    Given truncation: an endpoint whose body <framing> is cut off at one byte after the other
    When truncation: a client sends a request for each of them
    Then truncation: none gets a success that is complete

    Examples:
      | framing |
      | with a length |
      | in chunks |

  # Guards against streams that begin at the next process of an endpoint and count as the earlier
  # one's: no request was refused a connection in between (rule ORDER).
  Scenario Outline: An endpoint that breaks a stream off and <then> is known to have ended: <is known>
    Given truncation: an endpoint that sends a part of a stream and then <then>, and a sound one
    When truncation: a client sends a request that may be resumed
    Then truncation: whether the endpoint's process has ended is known: <is known>

    Examples:
      | then | is known |
      | ends | yes |
      | closes | no |

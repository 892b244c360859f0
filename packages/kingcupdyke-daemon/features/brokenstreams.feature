Feature: What follows a stream that has broken off is never an error in its middle, nor a false end

  Scenario Outline: A stream <first> breaks off, and the next endpoint answers <second>
    Given brokenstreams: an endpoint whose stream <first> breaks off after two events, and one that answers <second>
    When brokenstreams: a client asks for a stream that can be resumed, with "<protocol>"
    Then brokenstreams: it has got two events and nothing else, and its answer is not complete

    Examples: Framings of the stream
      | first | second | protocol |
      | in chunks | a failure | HTTP/1.1 |
      | with a length | a failure | HTTP/1.1 |
      | up to the end of its connection | a failure | HTTP/1.1 |
      | in chunks | a failure | HTTP/1.0 |
      | with a length | a failure | HTTP/1.0 |
      | up to the end of its connection | a failure | HTTP/1.0 |

    Examples: Kinds of errors
      | first | second | protocol |
      | in chunks | a failure in chunks | HTTP/1.1 |
      | in chunks | a failure up to the end of its connection | HTTP/1.1 |
      | in chunks | a failure that ends early | HTTP/1.1 |
      | in chunks | a client's error | HTTP/1.1 |
      | in chunks | an answer without a stamp | HTTP/1.1 |
      | in chunks | an encoded answer | HTTP/1.1 |
      | in chunks | bytes that are no answer | HTTP/1.1 |
      | in chunks | a closed connection | HTTP/1.1 |
      | in chunks | a rejection | HTTP/1.1 |
      | in chunks | an error as a success | HTTP/1.1 |
      | in chunks | an error as a success in chunks | HTTP/1.1 |
      | in chunks | an error as a success up to the end of its connection | HTTP/1.1 |
      | with a length | an error as a success | HTTP/1.1 |
      | up to the end of its connection | an error as a success | HTTP/1.1 |
      | in chunks | an error as a success | HTTP/1.0 |
      | up to the end of its connection | an error as a success up to the end of its connection | HTTP/1.0 |
      | in chunks | a text as a success | HTTP/1.1 |
      | in chunks | a success of another kind that names no type | HTTP/1.1 |
      | in chunks | an empty success | HTTP/1.1 |
      | in chunks | an empty success in chunks | HTTP/1.1 |

  Scenario Outline: After <second> the stream goes on at a third endpoint
    Given brokenstreams: an endpoint whose stream in chunks breaks off after two events, and one that answers <second>
    And brokenstreams: a third endpoint that goes on with the stream, and three attempts are permitted
    When brokenstreams: a client asks for a stream that can be resumed, with "HTTP/1.1"
    Then brokenstreams: it has got all four events, and its answer is complete

    Examples:
      | second |
      | a failure |
      | a rejection |
      | a client's error |
      | an error as a success |
      | an error as a success up to the end of its connection |
      | an answer without a stamp |

  Scenario Outline: An answer that is no stream is not continued by another one: <framing>
    Given brokenstreams: an endpoint whose answer <framing> breaks off, and one that answers it from its beginning
    When brokenstreams: a client asks for a stream that can be resumed, with "HTTP/1.1"
    Then brokenstreams: it has got the beginning only, and its answer is not complete
    And brokenstreams: the second endpoint has received nothing

    Examples:
      | framing |
      | in chunks |
      | with a length |

  Scenario: A stream whose events have no ids is not resumed
    Given brokenstreams: an endpoint whose stream without ids breaks off after two events, and one that begins it anew
    When brokenstreams: a client asks for a stream that can be resumed, with "HTTP/1.1"
    Then brokenstreams: it has got two events without ids and nothing else, and its answer is not complete

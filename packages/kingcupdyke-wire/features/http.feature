Feature: The HTTP client reports whether a failed request may have run

  Scenario Outline: A failure reports its outcome and step
    Given a server for http that <behaviour>
    When http sends a request with a timeout of 0.05 s
    Then http reports "<outcome>" at step "<step>" with the peer's address

    Examples:
      | behaviour                          | outcome | step    |
      | refuses connections                | not_run | connect |
      | drops the connection               | unknown | run     |
      | answers too late                   | unknown | run     |
      | closes within the answer           | unknown | run     |
      | never answers                      | unknown | run     |
      | ends a stream inside an event      | unknown | run     |
      | ends its connection inside an event | unknown | run    |
      | ends its connection inside a JSON value | unknown | run |
      | answers with status 000            | unknown | run     |
      | answers with status 099            | unknown | run     |
      | answers with status 600            | unknown | run     |
      | answers with status 999            | unknown | run     |

  Scenario Outline: The next request gets its own answer
    Given a server for http that <behaviour>
    When http sends a request with a timeout of 0.05 s
    And http sends another request once the server works
    Then http has the answer to the other request

    Examples:
      | behaviour                     |
      | drops the connection          |
      | answers too late              |
      | closes within the answer      |
      | answers twice                 |
      | stalls its connections        |

  Scenario: The connection of a cancelled request is not reused
    Given a server for http that answers too late
    When http sends a request that is cancelled after 0.02 s
    And http sends another request once the server works
    Then http has the answer to the other request

  Scenario Outline: A broken stream raises an error while its parts are read
    Given a server for http that <behaviour>
    When http reads a stream with a timeout of 0.05 s between its parts
    Then http has read a part and reports "unknown" at step "run" with the peer's address

    Examples:
      | behaviour                     |
      | closes within the answer      |
      | stalls within the answer      |

  Scenario Outline: A stream whose status is none is a failure: <status>
    Given a server for http that answers with status <status>
    When http reads a stream with a timeout of 0.5 s between its parts
    Then http has read no part and reports "unknown" at step "run" with the peer's address

    Examples:
      | status |
      | 000 |
      | 600 |
      | 999 |

  Scenario Outline: An answer that ends with its connection is complete: <body>
    Given a server for http whose answer "<body>" of type "<type>" ends with its connection
    When http sends a request with a timeout of 0.5 s
    Then http has the answer "<body>"

    Examples:
      | type              | body            |
      | application/json  | {"a": 1}        |
      | text/event-stream | data: 1\n\n     |
      | text/event-stream | data: 1\r\n\r\n |
      | text/plain        | some text       |

  Scenario Outline: A failure says when a retry may succeed: <value>
    Then http: an answer of 503 with the Retry-After "<value>" is a failure with <seconds>

    Examples:
      | value | seconds |
      | 2 | 2.0 |
      | 0.5 | 0.5 |
      | nan | None |
      | inf | None |
      | -1 | None |
      | soon | None |
      | 1e400 | None |
      | 99999999999999999999 | 3600.0 |
      | Fri, 31 Dec 1999 23:59:59 GMT | 0.0 |

Feature: A refusal that an endpoint writes again is not taken for the answer to a later request

  Scenario Outline: On a kept connection, <case>
    Given repeatedrefusals: an endpoint that refuses a request, keeps the connection, and then <then>
    When repeatedrefusals: "<first>" is refused there, and "<second>" follows
    Then repeatedrefusals: the second answer is "<answer>"
    And repeatedrefusals: the second request has run <runs> times, at the first endpoint

    Examples:
      | case | first | second | then | answer | runs |
      | the refusal of another attempt comes first | GET /safe/1 | POST /once/1 | repeats it before its answer | 200 ran | 1 |
      | the refusal of another attempt comes alone | GET /safe/1 | POST /once/1 | repeats it and runs for long | 504 | 1 |
      | a refusal without an id comes first | GET /safe/1 | POST /once/1 | repeats it without an id before its answer | 200 ran | 1 |
      | a refusal without an id comes alone | GET /safe/1 | POST /once/1 | repeats it without an id and runs for long | 504 | 1 |
      | a refusal without an id comes twice | GET /safe/1 | POST /once/1 | repeats it twice without an id before its answer | 200 ran | 1 |
      | a misdirection without an id comes first | GET /safe/1 | POST /once/1 | says without an id that it is misdirected before its answer | 200 ran | 1 |
      | a success without an id comes first | GET /safe/1 | POST /once/1 | writes a success without an id before its answer | 200 ran | 1 |
      | the refusal comes while the connection is idle | GET /safe/1 | POST /once/1 | repeats it at once | 200 ran | 1 |
      | the refusal comes while the connection is idle, without an id | GET /safe/1 | POST /once/1 | repeats it at once without an id | 200 ran | 1 |
      | a request without an id gets no refusal of another one | GET /safe/1 | POST /once/1 without an id | repeats it before its answer | 200 ran | 1 |
      | a request without an id gets no refusal without one | GET /safe/1 | POST /once/1 without an id | repeats it without an id before its answer | 200 ran | 1 |
      | a stream gets no refusal of another one | GET /safe/1 | GET /stream/1 | repeats it without an id before its answer | 200 events 1 | 1 |

  Scenario: An attempt that is sent to the endpoint again gets no earlier refusal of itself
    Given repeatedrefusals: an endpoint that refuses a request, keeps the connection, and then repeats it before its answer
    When repeatedrefusals: "POST /once/1" is refused there for 0.3 s, and sent again by the gateway
    Then repeatedrefusals: the first answer is "200 ran"
    And repeatedrefusals: it has run 1 times
    And repeatedrefusals: other requests use the connection of the refusal

  Scenario Outline: A client's attempt that comes again gets no earlier <refusal> of itself
    Given repeatedrefusals: an endpoint that refuses a request, keeps the connection, and then repeats its <refusal> before its answer
    When repeatedrefusals: "POST /once/1" is refused there, and "POST /once/1" with the same id follows
    Then repeatedrefusals: the second answer is "200 ran"
    And repeatedrefusals: the second request has run 1 times, at the first endpoint

    Examples:
      | refusal |
      | rejection |
      | misdirection |

  Scenario: An endpoint that never names attempts gets a connection for each request
    Given repeatedrefusals: an endpoint that names no attempt
    When repeatedrefusals: 3 requests follow each other
    Then repeatedrefusals: all are answered, over 3 connections

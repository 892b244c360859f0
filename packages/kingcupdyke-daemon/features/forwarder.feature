Feature: A forwarding gateway passes on complete answers, retries safely and reports correctly what ran

  Scenario Outline: <case>
    When forwarder: "<request>" goes to endpoints with the scripts "<scripts>"
    Then forwarder: the answer is "<answer>"
    And forwarder: the endpoints received "<received>" requests

    Examples:
      | case | request | scripts | answer | received |
      | a complete answer is passed on | GET /safe/1 | ok | 200 e1 | 1 |
      | a failure of a non-idempotent request is passed on unchanged | POST /once/1 | fail; ok | 500 failed | 1 0 |
      | a failed idempotent request is retried at another endpoint | GET /safe/1 | fail; ok | 200 e2 | 1 1 |
      | an idempotent request is not retried beyond the route's max_attempts | GET /safe/1 | fail; fail; ok | 500 failed | 1 1 0 |
      | a request that did not run is retried at another endpoint | POST /once/1 | notrun; ok | 200 e2 | 1 1 |
      | a request that ran nowhere is rejected as unavailable | POST /once/1 | notrun | 503 | 1 |
      | a misdirected request did not run and is retried | POST /once/1 | misdirected; ok | 200 e2 | 1 1 |
      | a failed connect means that the request did not run | POST /once/1 | down; ok | 200 e2 | 0 1 |
      | a request is rejected as unavailable if no endpoint can be connected | POST /once/1 | down | 503 | 0 |
      | a request whose connection was closed may have run | POST /once/1 | close; ok | 502 | 1 0 |
      | an idempotent request whose connection was closed is retried | GET /safe/1 | close; ok | 200 e2 | 1 1 |
      | a request answered by malformed bytes may have run | POST /once/1 | garbage; ok | 502 | 1 0 |
      | an answer without the server's stamp is not passed on | POST /once/1 | unmarked; ok | 502 | 1 0 |
      | an answer to another request is not passed on | POST /once/1 | crossed; ok | 502 | 1 0 |
      | the right answer after a stray one is passed on | POST /once/1 | stray | 200 own | 1 |
      | an answer without a length ends when its connection is closed | GET /safe/1 | unframed | 200 until the end | 1 |
      | a truncated answer does not look complete to the client | GET /safe/1 | cut | cut | 1 |
      | a stream is passed on | GET /stream/1 | events | 200 events 1,2,3,4 | 1 |
      | a truncated stream does not look complete to the client | GET /stream/1 | cutevents; ok | cut | 1 0 |
      | a resumable stream continues at another endpoint | GET /resume/1 | cutevents; rest | 200 events 1,2,3,4 | 1 1 |
      | a resumable stream without another endpoint does not look complete | GET /resume/1 | cutevents close | cut | 2 |
      | a resumable stream continues at the endpoint where it broke off, if there is no other | GET /resume/1 | cutevents rest | 200 events 1,2,3,4 | 2 |
      | a request without an answer within the route's timeout gets a gateway timeout | GET /safe/1 | hang | 504 | 1 |
      | a path without a route is not found | GET /none/1 | ok | 404 | 0 |
      | a stream that ends with its connection is passed on | GET /stream/1 | bare:1,2,3,4 | 200 events 1,2,3,4 | 1 |
      | a stream that ends with its connection inside an event does not look complete | GET /stream/1 | bare:1,2,3,part | cut | 1 |
      | a stream that ends with its connection before its first event does not look complete | GET /stream/1 | bare: | cut | 1 |
      | a stream with a last chunk inside an event does not look complete | GET /stream/1 | chunked:1,2,3,part | cut | 1 |
      | a stream with a length that ends inside an event does not look complete | GET /stream/1 | sized:1,2,3,part | cut | 1 |
      | a resumable stream that ends with its connection inside an event continues at another endpoint | GET /resume/1 | bare:1,2,part; rest | 200 events 1,2,3,4 | 1 1 |
      | a resumable stream that ends with its connection inside an event does not look complete | GET /resume/1 | bare:1,2,3,part close | cut | 2 |
      | a resumable stream does not continue at another software version | GET /resume/1 | cutevents close; @v2 rest | cut | 2 0 |
      | a resumable stream continues at the software version that began it | GET /resume/1 | cutevents; @v2 rest; rest | 200 events 1,2,3,4 | 1 0 1 |
      | a resumable stream without an event yet begins at another software version | GET /resume/1 | close; @v2 rest | 200 events 1,2,3,4 | 1 1 |
      | a stream whose events end with CRLF is passed on | GET /resume/1 | crlf:1,2,3,4 | 200 events 1,2,3,4 | 1 |

  Scenario: An exhausted retry budget stops retries
    When forwarder: 20 idempotent requests fail at two endpoints with a budget of 2 retries
    Then forwarder: the endpoints received at most 26 requests in total

  Scenario Outline: While <case> a request is rejected with a Retry-After header
    When forwarder: a request arrives while <case>
    Then forwarder: the answer is "503"
    And forwarder: the answer has a Retry-After header

    Examples:
      | case |
      | no configuration is known |
      | the routes may be stale and none matches |
      | the gateway is stopping and rejects requests |

  Scenario: A client's disconnect immediately cancels the work at the endpoint
    When forwarder: a client disconnects while the endpoint works
    Then forwarder: the connection to the endpoint is closed within 0.2 s
    And forwarder: no request counts as in progress

  Scenario: A client's disconnect while its request waits uses no endpoint
    When forwarder: a client disconnects while its request waits for a free slot
    Then forwarder: the request never reaches the endpoint
    And forwarder: no request counts as in progress

  Scenario: A request assigned to an endpoint that leaves before it is sent does not stay counted there
    When forwarder: an endpoint leaves just after a waiting request was assigned to it
    Then forwarder: the request never reaches the endpoint
    And forwarder: no request counts as in progress

  Scenario Outline: Bad input: <case>
    When forwarder: the bytes "<bytes>" are sent
    Then forwarder: the answer is "<answer>"
    And forwarder: the endpoints received "0" requests

    Examples:
      | case | bytes | answer |
      | not HTTP | hello\r\n\r\n | 400 |
      | no host | GET /safe/1 HTTP/1.1\r\n\r\n | 400 |
      | a length and a chunked body | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | two different lengths | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd | 400 |
      | a length that is not a number | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: x\r\n\r\n | 400 |
      | a body over the limit | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 10001\r\n\r\n | 413 |
      | a chunked body over the limit | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n2711\r\n{10001} | 413 |
      | a head over the limit | GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-a: {3000} | 431 |
      | an unknown transfer encoding | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: gzip\r\n\r\n | 501 |

  Scenario: A request smuggled in a body is not executed
    When forwarder: a body holds a second request
    Then forwarder: the endpoint receives one request with that body

  Scenario: Pipelined requests are answered in their order
    When forwarder: three requests are pipelined on one connection
    Then forwarder: three answers arrive in their order

  Scenario: A chunked body reaches the endpoint completely
    When forwarder: a chunked body is sent
    Then forwarder: the endpoint receives the complete body

  Scenario: An incomplete head times out
    When forwarder: an incomplete head is sent
    Then forwarder: the connection is closed within 0.6 s

  Scenario: An idle connection is kept until its idle timeout
    When forwarder: a connection is used twice 0.4 s apart
    Then forwarder: both requests are answered
    And forwarder: the connection is closed within 1 s after that

  Scenario: Connections to endpoints are reused
    When forwarder: 10 requests are sent one after the other
    Then forwarder: the endpoint has accepted one connection

  Scenario: An unsolicited second answer is not passed to the next request
    When forwarder: an endpoint answers twice and receives a second request
    Then forwarder: each request received its own answer

  Scenario: Requests in progress get a final answer when the process ends
    When forwarder: the process ends while an endpoint works
    Then forwarder: the answer is "502"

  Scenario: A stream that breaks off long after its first event is resumed
    When forwarder: within 5 s "GET /resume/1" goes to endpoints with the scripts "latecut; rest"
    Then forwarder: the answer is "200 events 1,2,3,4"

  Scenario Outline: A client of HTTP/1.0 sees that its answer broke off when <case>
    When forwarder: a client of HTTP/1.0 reads the answer to "GET <path>" when <case>
    Then forwarder: its connection is reset after a part of the answer

    Examples:
      | case | path |
      | the endpoint breaks off | /stream/1 |
      | the gateway ends | /stream/1 |

  Scenario Outline: A client continues a stream: <case>
    Given forwarder: endpoints with the scripts "<scripts>"
    When forwarder: a client's stream breaks off, and "<gone>" is gone
    And forwarder: the client continues it with the header "<header>"
    Then forwarder: the answer is "<answer>"
    And forwarder: the endpoints received "<received>" requests

    Examples:
      | case | scripts | gone | header | answer | received |
      | at the software version that began it | cutevents rest; @v2 rest | none | x-resumes: r1 | 200 events 3,4 | 2 0 |
      | at another endpoint of that version | cutevents; @v2 rest; rest | e1 | x-resumes: r1 | 200 events 3,4 | 1 0 1 |
      | it is rejected while only another version serves | cutevents; @v2 rest | e1 | x-resumes: r1 | 503 | 1 0 |
      | an unknown one is rejected while several versions serve | cutevents; @v2 rest | none | x-resumes: r9 | 503 | 1 0 |
      | one without a name is rejected while several versions serve | cutevents; @v2 rest | none | x-a: b | 503 | 1 0 |
      | an unknown one continues if only one version has served | cutevents; rest | none | x-resumes: r9 | 200 events 3,4 | 1 1 |

Feature: A forwarding gateway hands on whole answers, repeats only what may be, and says truly what ran

  Scenario Outline: <case>
    When forwarder: "<request>" goes to endpoints with the scripts "<scripts>"
    Then forwarder: the answer is "<answer>"
    And forwarder: the endpoints were asked "<asked>" times

    Examples:
      | case | request | scripts | answer | asked |
      | a whole answer is handed on | GET /safe/1 | ok | 200 e1 | 1 |
      | an endpoint's failure is handed on as it is | POST /once/1 | fail; ok | 500 failed | 1 0 |
      | a failure of what may be repeated is tried elsewhere | GET /safe/1 | fail; ok | 200 e2 | 1 1 |
      | but not more often than the route says | GET /safe/1 | fail; fail; ok | 500 failed | 1 1 0 |
      | what did not run is tried elsewhere | POST /once/1 | notrun; ok | 200 e2 | 1 1 |
      | nowhere left, it is refused truly | POST /once/1 | notrun | 503 | 1 |
      | another endpoint at the address did not run it | POST /once/1 | misdirected; ok | 200 e2 | 1 1 |
      | no connection means not run | POST /once/1 | down; ok | 200 e2 | 0 1 |
      | no connection anywhere is refused truly | POST /once/1 | down | 503 | 0 |
      | a closed connection may have run | POST /once/1 | close; ok | 502 | 1 0 |
      | and is repeated where that does no harm | GET /safe/1 | close; ok | 200 e2 | 1 1 |
      | bytes that are no answer may have run | POST /once/1 | garbage; ok | 502 | 1 0 |
      | an answer without the endpoint's mark is not its own | POST /once/1 | unmarked; ok | 502 | 1 0 |
      | an answer to another request is not handed on | POST /once/1 | crossed; ok | 502 | 1 0 |
      | the own answer after a stray one is | POST /once/1 | stray | 200 own | 1 |
      | an answer without a length ends with its connection | GET /safe/1 | unframed | 200 until the end | 1 |
      | an answer that ends early does not look complete | GET /safe/1 | cut | cut | 1 |
      | a stream is handed on | GET /stream/1 | events | 200 events 1,2,3,4 | 1 |
      | a stream that ends early does not look complete | GET /stream/1 | cutevents; ok | cut | 1 0 |
      | a stream that may be resumed goes on elsewhere | GET /resume/1 | cutevents; rest | 200 events 1,2,3,4 | 1 1 |
      | nowhere left, it does not look complete | GET /resume/1 | cutevents | cut | 1 |
      | what is not answered by the route's timeout has its final answer then | GET /safe/1 | hang | 504 | 1 |
      | a path without a route is not found | GET /none/1 | ok | 404 | 0 |

  Scenario: A budget that is used up ends repeats
    When forwarder: 20 repeatable requests fail at two endpoints with a budget of 2 repeats
    Then forwarder: the endpoints were asked at most 26 times in all

  Scenario Outline: While <case> a request is refused with when to come back
    When forwarder: a request comes while <case>
    Then forwarder: the answer is "503"
    And forwarder: it says when to come back

    Examples:
      | case |
      | no configuration is known |
      | the routes may have changed and none fits |
      | the gateway refuses as it is stopping |

  Scenario: A client's leaving ends the work at the endpoint at once
    When forwarder: a client leaves while the endpoint works
    Then forwarder: the endpoint's connection is closed within 0.2 s
    And forwarder: nothing counts as under way

  Scenario: A client that leaves while its request waits costs no endpoint anything
    When forwarder: a client leaves while its request waits for a place
    Then forwarder: its request never reaches the endpoint
    And forwarder: nothing counts as under way

  Scenario Outline: Bad input: <case>
    When forwarder: the bytes "<bytes>" come
    Then forwarder: the answer is "<answer>"
    And forwarder: the endpoints were asked "0" times

    Examples:
      | case | bytes | answer |
      | no HTTP | hello\r\n\r\n | 400 |
      | no host | GET /safe/1 HTTP/1.1\r\n\r\n | 400 |
      | a length and chunks | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | two lengths | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd | 400 |
      | a length that is none | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: x\r\n\r\n | 400 |
      | a body over the limit | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 10001\r\n\r\n | 413 |
      | chunks over the limit | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n2711\r\n{10001} | 413 |
      | a head over the limit | GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-a: {3000} | 431 |
      | an encoding that is unknown | POST /safe/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: gzip\r\n\r\n | 501 |

  Scenario: A request that is smuggled in a body is no request
    When forwarder: a body holds a second request
    Then forwarder: the endpoint gets one request with that body

  Scenario: Requests that are sent ahead are answered in their order
    When forwarder: three requests are sent at once on one connection
    Then forwarder: three answers come in their order

  Scenario: A body in chunks reaches the endpoint whole
    When forwarder: a body comes in chunks
    Then forwarder: the endpoint gets the whole body

  Scenario: A head that does not come is not waited for
    When forwarder: half a head comes
    Then forwarder: the connection is closed within 0.6 s

  Scenario: An idle connection is closed after its time, and kept until then
    When forwarder: a connection is used twice 0.4 s apart
    Then forwarder: both requests are answered
    And forwarder: the connection is closed within 1 s after that

  Scenario: Connections to endpoints are kept
    When forwarder: 10 requests come one after the other
    Then forwarder: the endpoint saw one connection

  Scenario: A second answer that nobody asked for is not handed to the next request
    When forwarder: an endpoint answers twice and gets a second request
    Then forwarder: each request got its own answer

  Scenario: Requests under way are answered when the process ends
    When forwarder: the process ends while an endpoint works
    Then forwarder: the answer is "502"

  Scenario: A stream that breaks off long after its first event is resumed as well
    When forwarder: within 5 s "GET /resume/1" goes to endpoints with the scripts "latecut; rest"
    Then forwarder: the answer is "200 events 1,2,3,4"

Feature: An endpoint that requests backoff from a gateway gets nothing from it for that time

  Scenario Outline: At several gateways, <case>
    Given backoff: 3 gateways before an endpoint that will request backoff and one that does not
    And backoff: messages between the gateways are "<messages>"
    When backoff: 30 requests a second come, it requests <seconds> s from each gateway, and "<event>" happens 0.5 s later
    Then backoff: no gateway that has run all the time has sent it a request from 0.1 s after its answer to the end
    And backoff: each of them has sent it requests within 0.5 s after the end
    And backoff: all requests have been answered

    Examples:
      | case | messages | seconds | event |
      | requests that come evenly | soon | 2 | nothing |
      | messages that come late | late | 2 | nothing |
      | messages of which most are lost | lost | 2 | nothing |
      | a fraction of seconds | soon | 1.3 | nothing |
      | gateways of which one starts again | soon | 2 | a restart |
      | gateways of which one joins late | soon | 2 | a join |
      | gateways that get its entry again | soon | 2 | an entry |
      | an entry that lapses and comes again | soon | 2 | a lapse |
      | successes of earlier requests | soon | 2 | a success |

  Scenario Outline: It is kept if it is requested in <case>
    Given backoff: 1 gateways before an endpoint that will request backoff and no other
    When backoff: it requests 1.5 s in its answer "<answer>" to a request
    Then backoff: the gateway rejects requests, and sends them again after 1.5 s

    Examples:
      | case | answer |
      | an answer that has not run | busy |
      | a failure | failed |
      | an answer to another request, before its own | stray |
      | an answer that is cut off after its head | cutoff |

  Scenario Outline: It is not requested by <case>
    Given backoff: 1 gateways before an endpoint that will request backoff and one that does not
    When backoff: it requests <seconds> s in its answer "<answer>" to a request
    Then backoff: the gateway sends to this one immediately

    Examples:
      | case | seconds | answer |
      | a time of 0 | 0 | busy |
      | a success | 2 | done |
      | an answer that names an endpoint at another address | 2 | foreign |
      | a status that limits the request, and not the endpoint's others | 2 | toomany |

  Scenario: An endpoint that requests backoff from one gateway is used by the others
    Given backoff: 3 gateways before an endpoint that will request backoff and one that does not
    When backoff: it requests 2 s from one gateway
    Then backoff: the other gateways send to it

  Scenario: An endpoint with another id at the same address is used immediately
    Given backoff: 1 gateways before an endpoint that will request backoff and one that does not
    When backoff: it requests 2 s, and another endpoint takes its address
    Then backoff: the gateway sends to that one

  Scenario: A request that waits for its connection meanwhile goes to another endpoint
    Given backoff: 1 gateways before an endpoint that will request backoff and one that does not
    When backoff: it requests 2 s while a request to it waits for its connection
    Then backoff: that request has gone to the other endpoint

  Scenario: A request that is assigned meanwhile opens no connection
    Given backoff: 1 gateways before an endpoint that will request backoff and one that does not
    When backoff: it requests 2 s just after a request was assigned to it
    Then backoff: that request has gone to the other endpoint
    And backoff: no connection to it was opened

  Scenario: A request that can wait until the only endpoint may be called is answered then
    Given backoff: 1 gateways before an endpoint that will request backoff and no other
    When backoff: it requests 0.8 s, and requests with a timeout of 3 s come
    Then backoff: they and the one that it has rejected are answered within 0.5 s after the end, and not before
    And backoff: it has received none of them in between

  Scenario: A request that can't wait that long is rejected immediately with the time that remains
    Given backoff: 1 gateways before an endpoint that will request backoff and no other
    When backoff: it requests 3 s, and requests with a timeout of 1 s come
    Then backoff: they and the one that it has rejected are rejected at once, and told to return after the end

  Scenario: A request that may not be tried again is told the time that remains
    Given backoff: 1 gateways before an endpoint that will request backoff and no other
    And backoff: the retry budget is exhausted
    When backoff: it requests 3 s, and requests with a timeout of 5 s come
    Then backoff: the one that it has rejected is rejected at once, and told to return after the end

  Scenario Outline: It is kept if it is requested <milliseconds> ms after <case>
    Given backoff: 1 gateways before an endpoint that will request backoff and no other
    When backoff: it requests 1.5 s in an answer that comes <milliseconds> ms after "<case>"
    Then backoff: the gateway knows it

    Examples:
      | case | milliseconds |
      | the client has left | 30 |
      | the deadline | 30 |

  Scenario: A stream that breaks off goes on there only after the end
    Given backoff: 1 gateways before an endpoint that will request backoff and no other
    When backoff: it requests 0.8 s, and breaks off a stream at once
    Then backoff: the stream is complete, and has gone on there only after the end

  Scenario Outline: An engine requests it in its answer to <call>
    When backoff: an engine requests 2 s in its answer to a planner's "<method>" call
    Then backoff: it gets no call of the planner in that time, and some after it

    Examples:
      | call | method |
      | a request for its report | GET |
      | an order | POST |

@site
Feature: Requests are served end to end

  Scenario Outline: A caller receives the complete answer
    When a caller asks <model> for 8 tokens at <gateway>, <form>
    Then the caller receives the complete answer

    Examples:
      | model     | gateway  | form         |
      | chat-7b   | entry-n1 | non-streamed |
      | chat-7b   | entry-n1 | streamed     |
      | chat-club | entry-n2 | non-streamed |
      | plan-13b  | entry-s1 | streamed     |
      | south-3b  | entry-n1 | streamed     |

  Scenario: The official OpenAI client works unchanged
    When the official client asks chat-7b for 6 tokens, non-streamed and streamed
    Then the official client receives both answers and the list of models

  Scenario Outline: Invalid input gets a clear error
    When a caller sends <what> to /v1/chat/completions at entry-n1
    Then the response has status <status> and code "<code>"

    Examples:
      | what              | status | code            |
      | nothing           | 400    | invalid_request |
      | broken JSON       | 400    | invalid_request |
      | an oversized body | 413    | body_too_large  |
      | an unknown field  | 400    | invalid_request |
      | a wrong type      | 400    | invalid_request |
      | an unknown model  | 404    | model_not_found |
      | a forbidden model | 403    | forbidden       |
      | a wrong token     | 401    | invalid_token   |
      | a wrong deadline  | 400    | invalid_request |

  Scenario Outline: An unknown path gets a clear error
    When a caller sends nothing to <path> at entry-n1
    Then the response has status 404 and code "<code>"

    Examples:
      | path           | code              |
      | /v1/images     | not_found         |
      | /services/none | service_not_found |

  Scenario Outline: A request to a plain service and its answer are forwarded unchanged
    When a caller sends <method> to the service's path <path> with the body <body>
    Then the response has status <status> and type <type>, and the service received <seen>

    Examples:
      | method | path                                            | body             | status | type       | seen                                                                  |
      | GET    | /echo/a%20b%2Fc?type=text/plain&x=%C5%A1+1&x&y= | ""               | 200    | text/plain | ["GET", ["echo", "a b/c"], {"type": "text/plain", "x": "š 1"}]        |
      | GET    | /echo/%C5%A1?type=text/x;q=1                    | ""               | 200    | text/x;q=1 | ["GET", ["echo", "š"], {"type": "text/x;q=1"}]                        |
      | POST   | /echo?type=a/b&status=418                       | "\xff\x00\r\n\x80" | 418    | a/b        | ["POST", ["echo"], {"type": "a/b", "status": "418"}]                  |
      | POST   | /echo?type=text/plain&status=500                | ""               | 500    | text/plain | ["POST", ["echo"], {"type": "text/plain", "status": "500"}]           |
      | DELETE | /echo?type=text/plain&status=204                | ""               | 204    | text/plain | nothing                                                               |
      | HEAD   | /echo?type=text/plain                           | ""               | 200    | text/plain | nothing                                                               |

  Scenario: Concurrent callers each receive their own answer
    When 24 callers concurrently ask chat-7b for 10 tokens at entry-n2
    Then each caller receives the complete answer to its own request
    And no stand-in recorded a violation

  Scenario: Latencies are measured by caller and service class
    When a caller asks chat-7b for 8 tokens at entry-n1, streamed
    Then the metrics of entry-n1 have histograms by caller and class
    And the metrics of sidecar app-n1 can be read

Feature: The HTTP client tells what may have run from what has not

  Scenario Outline: A failure says what is known of the request
    Given a server for http that <behaviour>
    When http sends a request with 0.05 s to answer
    Then http reports "<outcome>" at step "<step>" with the peer's address

    Examples:
      | behaviour                          | outcome | step    |
      | refuses connections                | not_run | connect |
      | drops the connection               | unknown | run     |
      | answers too late                   | unknown | run     |
      | cuts the answer in the middle      | unknown | run     |
      | never answers                      | unknown | run     |

  Scenario Outline: The next request gets its own answer
    Given a server for http that <behaviour>
    When http sends a request with 0.05 s to answer
    And http sends another request once the server behaves
    Then http has the answer to the other request

    Examples:
      | behaviour                     |
      | drops the connection          |
      | answers too late              |
      | cuts the answer in the middle |
      | answers twice                 |
      | goes silent on connections    |

  Scenario: A cancelled request leaves no connection behind that is used again
    Given a server for http that answers too late
    When http sends a request that is cancelled after 0.02 s
    And http sends another request once the server behaves
    Then http has the answer to the other request

  Scenario Outline: A stream that breaks fails in its parts
    Given a server for http that <behaviour>
    When http reads a stream with 0.05 s between its parts
    Then http has read a part and reports "unknown" at step "run" with the peer's address

    Examples:
      | behaviour                     |
      | cuts the answer in the middle |
      | goes silent within the answer |

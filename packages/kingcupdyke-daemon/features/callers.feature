Feature: Only requests with the key of a caller pass a gateway, and no key does

  Scenario Outline: A request with <case>
    When callers: a request on "<path>" has the headers "<headers>"
    Then callers: the answer is "<answer>" and the endpoint receives "<received>"

    Examples:
      | case | path | headers | answer | received |
      | a key | /safe/1 | Bearer key-a | 200 | tenant a rank 1 |
      | a key and another scheme in upper case | /safe/1 | BEARER key-a | 200 | tenant a rank 1 |
      | the key of a caller with a priority | /safe/1 | Bearer key-b | 200 | tenant b rank 0 |
      | a caller's name of its own | /safe/1 | Bearer key-a, tenant b | 200 | tenant a rank 1 |
      | no key on a public route | /once/1 | | 200 | tenant - rank 1 |
      | a key and a name on a public route | /once/1 | Bearer key-a, tenant b | 200 | tenant - rank 1 |
      | an unknown key on a public route | /once/1 | Bearer other | 200 | tenant - rank 1 |
      | no key | /safe/1 | | 401 no API key | nothing |
      | an empty key | /safe/1 | Bearer | 401 malformed API key | nothing |
      | a key of 8 KB | /safe/1 | Bearer <8192> | 401 malformed API key | nothing |
      | a key that is not ASCII | /safe/1 | Bearer key-é | 401 malformed API key | nothing |
      | two headers | /safe/1 | Bearer key-a, Bearer key-a | 401 more than one Authorization header | nothing |
      | another scheme | /safe/1 | Basic key-a | 401 another authorization scheme than Bearer | nothing |
      | an unknown key | /safe/1 | Bearer other | 401 unknown API key | nothing |
      | a key on a path without a route | /none/1 | Bearer other | 404 no route | nothing |

  Scenario Outline: While <case>, a request with an unknown key gets 503 and no 401
    When callers: a request on "/safe/1" has the headers "<headers>" while "<case>"
    Then callers: the answer is "<answer>" and the endpoint receives "<received>"

    Examples:
      | case | headers | answer | received |
      | no configuration is known | Bearer key-a | 503 no configuration is known yet | nothing |
      | the configuration is not confirmed | Bearer other | 503 unknown API key, but the keys may have changed | nothing |
      | the configuration is not confirmed | | 503 no API key, but the keys may have changed | nothing |
      | the configuration is not confirmed | Bearer key-a | 200 | tenant a rank 1 |
      | callers are configured and none is known | Bearer key-a | 401 unknown API key | nothing |

  Scenario: Without callers, the Authorization header is passed on and no name is added
    When callers: a request on "/safe/1" has the headers "Bearer key-a, tenant b" while "no callers are configured"
    Then callers: the answer is "200" and the endpoint receives "key tenant - rank 1"

  Scenario: A request that is running goes on when its key is removed, and the next one gets 401
    When callers: the key of a request is removed while it runs, and it is sent again
    Then callers: the answers are "200 401"

  Scenario: Keys appear in no log line, metric, answer or message to peers
    When callers: requests with known, unknown and malformed keys are sent, some with invalid headers
    Then callers: no log line, metric, answer or message contains a key

  Scenario: Requests that differ only in their callers have different fingerprints
    Then callers: the fingerprint depends on the caller's name and not on its key

  Scenario: 100,000 requests with unknown keys leave nothing behind, and crowd out no other log lines
    When callers: 100000 requests with unknown keys reach the handler
    Then callers: the process holds no more memory for them, and few lines are logged

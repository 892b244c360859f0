Feature: The caller of a request is found by its API key only

  Scenario Outline: <case>
    Then callertable: the authorization "<authorization>" belongs to "<caller>"

    Examples:
      | case | authorization | caller |
      | a known key | Bearer key-a | a |
      | a second key of the caller | Bearer key-a2 | a |
      | another scheme in lower case | bearer key-b | b |
      | a scheme in upper case | BEARER key-b | b |
      | several spaces | Bearer   key-b | b |
      | no header | | no API key |
      | an unknown key | Bearer key-c | unknown API key |
      | a known key in another case | Bearer KEY-A | unknown API key |
      | another scheme | Basic key-a | another authorization scheme than Bearer |
      | a key without a scheme | key-a | another authorization scheme than Bearer |
      | an empty key | Bearer | malformed API key |
      | a key of 8 KB | Bearer <8192> | malformed API key |
      | a key that is not ASCII | Bearer key-é | malformed API key |
      | a no-break space after the key | Bearer key-a<nbsp> | malformed API key |
      | two headers | Bearer key-a<lf>Bearer key-a | more than one Authorization header |

  Scenario: The cost of a request in the unit of its caller's quota
    Then callertable: a request costs its tokens, the plain tokens without them, or one request

  Scenario: 100,000 unknown keys leave nothing behind
    When callertable: 100000 unknown keys are looked up
    Then callertable: the table has not grown

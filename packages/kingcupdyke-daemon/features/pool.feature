Feature: A connection to an endpoint has one owner

  Scenario Outline: Two requests never get the same connection: one waits while <case>
    When pool: a request takes the sound one of two connections while <case>, and another follows
    Then pool: the two requests have different connections
    And pool: the connection of the first request is open

    Examples:
      | case |
      | the broken one is being closed |
      | expired connections are closed |
      | all connections are closed |

  Scenario: A request that fails on a connection in use does not change how far the other has come
    When pool: a second request is sent on a connection in use
    Then pool: the second request was not sent
    And pool: the first request gets its answer

  Scenario: A broken connection does not delay the request that finds it
    When pool: a request finds a broken connection that takes 0.5 s to close
    Then pool: it has another connection within 0.2 s

  Scenario Outline: No schedule gives a connection to two requests (seed <seed>)
    When pool: 60 requests with the seed <seed> overlap with expiry and broken connections
    Then pool: no connection was held by two requests at once
    And pool: no idle connection is left after the pool is closed

    Examples:
      | seed |
      | 1 |
      | 2 |
      | 3 |
      | 4 |
      | 5 |

Feature: A sidecar records its orders, and settles them by the engine's reports

  Scenario Outline: An order is recorded before it is sent to the engine: <case>
    Given orders: an engine that <checks> fencing numbers, with <store>
    When orders: a load of 10 GB is submitted
    Then orders: <sent> were sent and <intents> intents are in the store

    Examples:
      | case                                        | checks         | store          | sent | intents |
      | an engine that ignores fencing numbers      | does not check | the store up   | 1    | 1       |
      | an engine that checks fencing numbers       | checks         | the store up   | 1    | 1       |
      | the store is unavailable, no other check    | does not check | the store down | 0    | 0       |
      | the store is unavailable, the engine checks | checks         | the store down | 1    | 0       |
      | a successor has taken over                  | checks         | a successor    | 0    | 0       |
      | a successor has taken over, no check        | does not check | a successor    | 0    | 0       |

  Scenario: The endpoint stays a holder after a failed unload
    Given orders: an engine that checks fencing numbers, with the store up
    And orders: this endpoint and another hold the model "m"
    When orders: an unload is submitted that fails at the engine
    Then orders: the endpoint is among the holders of "m"

  Scenario: An engine gets the fencing number again after its restart
    Given orders: an engine that checks fencing numbers, with the store up
    When orders: the engine restarts
    Then orders: the engine has received the fencing number

  Scenario: An unseen order of an earlier sidecar is settled, although the first request fails
    Given orders: an engine that does not check fencing numbers, with an intent of an earlier sidecar
    When orders: the engine fails the first request
    Then orders: no order is pending

Feature: A sidecar records what it orders and settles what it learns

  Scenario Outline: An order is on record before the engine sees it: <case>
    Given orders go to an engine that <checks> numbers, with <store>
    When orders ask for a load of 10 GB
    Then orders have sent <sent> and left <intents> intents in the store

    Examples:
      | case                               | checks         | store          | sent | intents |
      | an engine that ignores numbers     | does not check | the store up   | 1    | 1       |
      | an engine that checks numbers      | checks         | the store up   | 1    | 1       |
      | the store is away, no other guard  | does not check | the store down | 0    | 0       |
      | the store is away, the engine checks | checks       | the store down | 1    | 0       |
      | a successor has begun              | checks         | a successor    | 0    | 0       |
      | a successor has begun, no check    | does not check | a successor    | 0    | 0       |

  Scenario: A failed unload leaves the endpoint a holder
    Given orders go to an engine that checks numbers, with the store up
    And orders hold the model "m" here and elsewhere
    When orders ask for an unload that the engine fails
    Then orders have the endpoint among the holders of "m"

  Scenario: An engine that restarted is shown the number again
    Given orders go to an engine that checks numbers, with the store up
    When orders see the engine restart
    Then orders have shown the engine their number

  Scenario: The id of an order that nobody saw is used up, in the end
    Given orders go to an engine that does not check numbers, with an intent of a dead sender
    When orders meet an engine that is away once at the start
    Then orders have no order left open

Feature: A forwarding gateway starts, follows the store, and stops without cutting anything off

  Scenario: It is ready once it knows configuration and endpoints, and serves then
    When process: a gateway starts before its configuration is written
    Then process: it was not ready and refused requests until the configuration came
    And process: it is ready and serves within 1 s after that

  Scenario: A newer configuration is in force at once, an older one never replaces it
    When process: a gateway gets the versions "1 3 2" of its configuration
    Then process: version 3 is in force after each later one

  Scenario: An endpoint that leaves gets nothing more, one that comes gets work
    When process: the only endpoint leaves and another one comes
    Then process: requests after that are answered by the other one

  Scenario: Entries that nobody can use are passed over
    When process: unusable entries lie beside the endpoint's
    Then process: requests are served

  Scenario: It goes on with what it knows while the store is away
    When process: the store is away for 1 s
    Then process: requests are served during that time
    And process: a change made at the end of it is in force within 2 s

  Scenario: A planned stop
    When process: a gateway is stopped while a request is under way
    Then process: it says at once that it takes no connections
    And process: the request under way is answered
    And process: a request that comes soon after is answered, and asked to close its connection
    And process: one that comes late is refused truly
    And process: the process ends within its grace

Feature: Changes of the store's objects are gathered, and a lone one is known immediately

  Scenario: Many changes cost few calls, and the last one is known
    When storewatcher: 100 changes are made within 1 s while they are gathered for 0.3 s
    Then storewatcher: the store got at most 6 watch calls
    And storewatcher: the last change is known after 0.4 s

  Scenario: A change after a quiet time is known immediately
    When storewatcher: a single change is made after a quiet second, while changes are gathered for 0.8 s
    Then storewatcher: the last change is known after 0.1 s

  Scenario: Without an interval each change is known immediately
    When storewatcher: 20 changes are made within 1 s while they are gathered for 0 s
    Then storewatcher: the last change is known after 0.1 s

  Scenario: A configuration is in force immediately while changes of endpoints are gathered
    When storewatcher: 68 gateways are listed, endpoints change all the time, and the configuration changes
    Then storewatcher: the configuration is in force after 0.15 s
    And storewatcher: the store got at most 25 watch calls for endpoints in 2 s

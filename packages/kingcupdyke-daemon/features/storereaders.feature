Feature: A few gateways read the store for their region, and none relies on them blindly

  Scenario: Followers know all changes and hardly call the store
    When storereaders: 6 gateways run while 100 changes are made within 2 s, the last of which lists another endpoint
    Then storereaders: all 6 gateways use the new endpoint
    And storereaders: all gateways made at most 230 watch calls, and 4 of them at most 2

  Scenario: Gateways read the store themselves when their readers are gone
    When storereaders: the readers of 6 gateways end without notice, then another endpoint is listed
    Then storereaders: after 2.5 s all remaining gateways use the new endpoint

  Scenario: Gateways read the store themselves when their readers cannot reach it
    When storereaders: the readers of 6 gateways lose the store, then another endpoint is listed
    Then storereaders: after 2.5 s all remaining gateways use the new endpoint

  Scenario Outline: A follower <case>
    When storereaders: a follower at position 2 with "<known>" receives "<messages>"
    Then storereaders: it knows "<objects>"
    And storereaders: it was told of each version of an object at most once, and in order
    And storereaders: it has made <calls> watch calls

    Examples:
      | case | known | messages | objects | calls |
      | applies changes that follow on | a@1 b@2 | 2-4 a@3 b-4 | a@3 | 0 |
      | asks the store when changes are missing | a@1 b@2 | 3-5 a@5 | store | 1 |
      | ignores a reader that is behind | a@1 b@2 | 0-1 b-1 | a@1 b@2 | 0 |
      | keeps its position when a reader is behind | a@1 b@2 | 0-1 b-1, 2-4 a@3 | a@3 b@2 | 0 |
      | does not return to an older version | a@1 b@2 | 0-3 b@1 b@2 a@3 | a@3 b@2 | 0 |
      | does not remove an object that was written again | a@1 b@4 | 1-5 b-3 a@5 | a@5 b@4 | 0 |
      | takes the same changes of two readers once | a@1 b@2 | 2-4 a@3, 2-4 a@3 | a@3 b@2 | 0 |

  Scenario: A follower that hears nothing asks the store
    When storereaders: a follower hears nothing while an object changes
    Then storereaders: it knows the change within 2 s

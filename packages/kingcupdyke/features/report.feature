Feature: Delayed load reports cause no thundering herd

  # There are eight endpoints; the fair share is one eighth and the bound is twice that.
  Scenario Outline: No endpoint gets more than twice its fair share with reports half a second old
    Then the report simulation of <gateways> <router> routers, seed <seed>, is <relation> the bound

    Examples:
      | gateways | router                   | seed | relation |
      | 3        | cost                     | 1    | below    |
      | 20       | cost                     | 1    | below    |
      | 20       | cost                     | 2    | below    |
      | 100      | cost                     | 1    | below    |
      | 20       | least_load               | 1    | above    |
      | 20       | cost without correction  | 1    | above    |
      | 100      | cost without two_choices | 1    | above    |

  Scenario Outline: Requests sent since the reported state are added to the report
    When the report tracker sends at <sent> s and gets 3 running, 1 waiting at <received> s
    Then the report tracker shows 3 running, <unreported> unreported and age <age> at second 3

    Examples:
      | sent        | received | unreported | age |
      | 1.0 1.2     | 2        | 0          | 1   |
      | 1.0 1.6     | 2        | 1          | 1   |
      | 1.6 2.0 2.5 | 2        | 3          | 1   |

  Scenario: Finished requests and endpoints that left are no longer counted
    When the report tracker sends at 1.9 s and gets 3 running, 1 waiting at 2 s
    Then the report tracker shows none unreported once the request ended, and nothing once e1 left

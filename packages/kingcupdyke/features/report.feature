Feature: Old load reports cause no herd

  # Eight endpoints: the fair share is an eighth, the bound twice that.
  Scenario Outline: No endpoint gets over twice its fair share by reports half a second old
    Then the report simulation of <gateways> <router> routers, seed <seed>, is <relation> the bound

    Examples:
      | gateways | router                                 | seed | relation |
      | 3        | cost                                   | 1    | below    |
      | 20       | cost                                   | 1    | below    |
      | 20       | cost                                   | 2    | below    |
      | 100      | cost                                   | 1    | below    |
      | 20       | least_load                             | 1    | above    |
      | 20       | cost without correction                | 1    | above    |
      | 100      | cost without two_choices               | 1    | above    |

  Scenario Outline: Requests younger than the lag are added to the report
    When the report tracker is sent to at seconds <sent> and hears 3 and 1 at second <heard>
    Then the report tracker shows 3 running, <unseen> unseen and age <age> at second 3

    Examples:
      | sent        | heard | unseen | age |
      | 1.0 1.2     | 2     | 0      | 1   |
      | 1.0 1.6     | 2     | 1      | 1   |
      | 1.6 2.0 2.5 | 2     | 3      | 1   |

  Scenario: Finished requests and endpoints that left are no longer counted
    When the report tracker is sent to at seconds 1.9 and hears 3 and 1 at second 2
    Then the report tracker shows nothing unseen once the request ended, and nothing once e1 left

Feature: Repeats of all gateways together stay within the budget of a service

  Scenario Outline: <gateways> gateways, <requests> requests and <asks> asks for repeats
    When repeats: <gateways> gateways get <requests> requests and ask for <asks> repeats over 60 s, with seed <seed>
    Then repeats: no window of 10 s has more than a fifth of its requests and 58 repeats
    And repeats: at least <least> repeats were allowed

    Examples:
      | gateways | requests | asks | seed | least |
      | 1        | 0        | 500  | 1    | 100   |
      | 5        | 2000     | 2000 | 2    | 300   |
      | 5        | 50       | 2000 | 3    | 150   |
      | 40       | 4000     | 4000 | 4    | 200   |

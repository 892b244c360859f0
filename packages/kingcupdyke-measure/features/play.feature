Feature: Loads are simulated in virtual time with simulated engines

  Scenario: Virtual time jumps to the next timer
    Then simulation: timers of up to an hour expire in order within 2 s

  Scenario: A simulation is repeatable with the same seed, and differs with another seed
    Then simulation: two runs of shifting with seed 1 are equal, and one with seed 2 differs

  Scenario Outline: Shares of served and on-time requests: <play>
    When simulation: <play> runs with the seeds 1 to 4
    Then simulation: no order overcommitted the memory of an engine
    And simulation: in no 5 s did more loads from the weight store start than the rate limit allows
    And simulation: each model with four or more requests is served
    And simulation: at least <served> of the requests are served and <on_time> on time

    Examples:
      | play     | served | on_time |
      | shifting | 0.97   | 0.9     |
      | crashes  | 0.97   | 0.9     |

  Scenario Outline: Settings with an invalid value are rejected: <change>
    Then simulation: settings with "<change>" are rejected with an error that names "<name>"

    Examples:
      | change                    | name    |
      | kind: shift=kind: eclipse | kind    |
      | gateways: 3=gateways: no  | gateways |
      | size_gb: 65=size_gb: big  | size_gb |

Feature: Loads are played in virtual time against modelled engines

  Scenario: Virtual time jumps to the next timer
    Then play: an hour of timers passes within 2 s, in order

  Scenario: A seed gives the same play again, another seed another one
    Then play: two plays of shifting with seed 1 are equal, and one with seed 2 differs

  Scenario Outline: What callers get: <play>
    When play: <play> is played with the seeds 1 to 4
    Then play: no engine was told to hold more than its memory
    And play: in no 5 s did more loads from the store begin than their rate allows
    And play: each model that was asked for four times or more is served
    And play: at least <served> of the callers are served and <on_time> on time

    Examples:
      | play     | served | on_time |
      | shifting | 0.97   | 0.9     |
      | crashes  | 0.97   | 0.9     |

  Scenario Outline: Settings with a mistake are refused: <change>
    Then play: settings with "<change>" are refused by the name "<name>"

    Examples:
      | change                    | name    |
      | kind: shift=kind: eclipse | kind    |
      | gateways: 3=gateways: no  | gateways |
      | size_gb: 65=size_gb: big  | size_gb |

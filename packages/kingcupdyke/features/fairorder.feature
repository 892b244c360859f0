Feature: Within one priority, a burst of one caller delays that caller first

  Scenario Outline: 16 callers with <rates>, one of them at 7 times its rate, at <load> % of the capacity
    When fairorder: the callers send with rates "<rates>" at <load> % of the capacity, without and with the burst
    Then fairorder: no other caller is served less than 90 % as often with the burst as without it
    And fairorder: no caller is served less than a quarter as often as all

    Examples:
      | rates | load |
      | equal | 70 |
      | equal | 130 |
      | none | 130 |
      | unequal | 70 |
      | unequal | 130 |

  Scenario Outline: <case>
    When fairorder: of waiting requests "<waiting>", "<served>" have been served before
    Then fairorder: they are served in the order "<order>"

    Examples:
      | case | waiting | served | order |
      | the caller that received less goes first | a1 b1 | a | b1 a1 |
      | the requests of callers alternate | a1 a2 a3 b1 b2 | a | b1 a1 b2 a2 a3 |
      | a caller with twice the rate is served twice as often | h1 h2 h3 h4 a1 a2 | h | a1 h1 h2 a2 h3 h4 |
      | a more urgent request goes first in any case | a1! b1 | aaaa | a1 b1 |
      | a request that can no longer be on time goes behind | a1~ b1 | bbbb | b1 a1 |
      | without callers the order is that of the objectives | b1 a1 | - | b1 a1 |

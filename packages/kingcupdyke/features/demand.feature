Feature: Demand fades, and each arrival is told once

  Scenario Outline: A steady rate is learnt and fades
    Given the demand module's tracker of 20 seconds with <rate> arrivals a second for 120 seconds
    Then the demand <after> seconds later is within a tenth of <expected>

    Examples:
      | rate | after | expected |
      | 4    | 0     | 4        |
      | 10   | 20    | 3.679    |
      | 10   | 400   | 0        |

  Scenario: Deltas are given once, merged without an echo, and relayed on wish
    Then the demand deltas of one tracker reach another once and go on only when relayed

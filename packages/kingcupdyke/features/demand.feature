Feature: Demand fades, and each arrival is told once

  Scenario Outline: A steady rate is learnt and fades
    Then the demand <after> s after <rate> arrivals a second is within a tenth of <expected>

    Examples:
      | rate | after | expected |
      | 4    | 0     | 4        |
      | 10   | 20    | 3.679    |
      | 10   | 400   | 0        |

  Scenario: Deltas are given once, merged without an echo, and relayed on wish
    Then the demand deltas of one tracker reach another once and go on only when relayed

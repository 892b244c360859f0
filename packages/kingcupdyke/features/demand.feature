Feature: Demand decays, and each arrival is reported once

  Scenario Outline: A steady rate is measured and decays afterwards
    Then the demand <after> s after <rate> arrivals a second is within a tenth of <expected>

    Examples:
      | rate | after | expected |
      | 4    | 0     | 4        |
      | 10   | 20    | 3.679    |
      | 10   | 400   | 0        |

  Scenario: Deltas are returned once, and merged deltas only when they are relayed
    Then the demand deltas of one tracker are merged by another and returned again only when relayed

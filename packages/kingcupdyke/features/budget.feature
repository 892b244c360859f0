Feature: Budgets are kept in any window of time

  Scenario Outline: The byte budget of a link between regions is kept in any window
    Given the budget module's byte budget of <rate> bytes a second and a burst of <burst>
    When the budget is asked <asks> times for up to <max> bytes, with seed <seed>
    Then the budget granted some bytes, and in no window more than its burst and rate

    Examples:
      | rate | burst | asks | max | seed |
      | 100  | 400   | 600  | 90  | 1    |
      | 100  | 0     | 50   | 0   | 2    |
      | 5000 | 900   | 600  | 900 | 3    |

  Scenario Outline: The byte budget grants or denies single requests
    Given the budget module's byte budget of 100 bytes a second and a burst of 400
    When the budget is asked at second 0 for <first> bytes and refunded <refund>
    Then at <at> s the budget for <second> bytes, reserve <reserve>, returns <answer>, wait <wait>

    Examples:
      | first | refund | at | second | reserve | answer | wait |
      | 400   | 0      | 0  | 1      | 0       | no     | 0.01 |
      | 400   | 100    | 0  | 100    | 0       | yes    | 0    |
      | 400   | 0      | 1  | 100    | 0       | yes    | 0    |
      | 0     | 900    | 0  | 401    | 0       | no     | inf  |
      | 100   | 0      | 0  | 100    | 250     | no     | 0    |
      | 0     | 0      | 9  | 400    | 0       | yes    | 0    |

  Scenario: Retries stay within their share of first attempts in any window
    Then the budget module's retry budget is kept in any order of first attempts and retries

Feature: Budgets hold over any window

  Scenario Outline: The byte budget of the region link holds over any window
    Given the budget module's byte budget of <rate> bytes a second and <burst> at once
    When the budget is asked <asks> times for up to <most> bytes, with seed <seed>
    Then the budget gave some bytes, and in no window more than its burst and rate

    Examples:
      | rate | burst | asks | most | seed |
      | 100  | 400   | 600  | 90   | 1    |
      | 100  | 0     | 50   | 0    | 2    |
      | 5000 | 900   | 600  | 900  | 3    |

  Scenario Outline: The byte budget answers single asks
    Given the budget module's byte budget of 100 bytes a second and 400 at once
    When the budget is asked at second 0 for <first> bytes and refunded <refund>
    Then at second <at> the budget for <second> bytes keeping <keep> says <answer> after <wait>

    Examples:
      | first | refund | at | second | keep | answer | wait |
      | 400   | 0      | 0  | 1      | 0    | no     | 0.01 |
      | 400   | 100    | 0  | 100    | 0    | yes    | 0    |
      | 400   | 0      | 1  | 100    | 0    | yes    | 0    |
      | 0     | 900    | 0  | 401    | 0    | no     | inf  |
      | 100   | 0      | 0  | 100    | 250  | no     | 0    |
      | 0     | 0      | 9  | 400    | 0    | yes    | 0    |

  Scenario: Retries stay within their share of first attempts over any window
    Then the budget module's retry budget holds for any order of first attempts and retries

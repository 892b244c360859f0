Feature: Policy reports count attained, late, rejected and lost requests

  Scenario Outline: An answer is attained if it is complete, in time and from the only run of its key
    Given a report of an answer that is "<answer>" after <seconds> s, with a deadline of 2.0 s and the key "<key>"
    When the key was executed <runs> times
    Then the report counts <attained> attained, <late> late, <rejected> rejected and <lost> lost

    Examples:
      | answer    | seconds | key | runs | attained | late | rejected | lost |
      | complete  | 1.0     |     | 0    | 1        | 0    | 0        | 0    |
      | complete  | 2.0     |     | 0    | 1        | 0    | 0        | 0    |
      | complete  | 2.1     |     | 0    | 0        | 1    | 0        | 0    |
      | complete  | 1.0     | k   | 1    | 1        | 0    | 0        | 0    |
      | complete  | 1.0     | k   | 2    | 0        | 1    | 0        | 0    |
      | complete  | 1.0     | k   | 0    | 0        | 1    | 0        | 0    |
      | truncated | 1.0     |     | 0    | 0        | 0    | 0        | 1    |
      | rejected  | 0.1     |     | 0    | 0        | 0    | 1        | 0    |
      | missing   | 1.0     |     | 0    | 0        | 0    | 0        | 1    |

  Scenario Outline: A percentile is one of the measured values, by nearest rank
    Then the report's percentile <percent> of "<values>" is <value>

    Examples:
      | percent | values    | value |
      | 50      |           | 0.0   |
      | 50      | 3         | 3.0   |
      | 50      | 4 1 3 2   | 2.0   |
      | 95      | 4 1 3 2   | 4.0   |
      | 99      | 1 2 3 4 5 | 5.0   |
      | 0       | 5 4       | 4.0   |

  Scenario: Lost requests are counted by kind, status and code
    Given a report of an answer that is "truncated" after 1.0 s, with a deadline of 2.0 s and the key ""
    Then the report's losses are "text 200: 1"

  Scenario: Bytes between regions are those of weights and of other traffic
    Then the report of 5 GB of weights and 3 MB of traffic between regions counts 5003000000 bytes

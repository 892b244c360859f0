Feature: The arithmetic of the measurements

  Scenario Outline: An answer counts when it is whole, in time and from the only run
    Given a report of an answer that is "<whole>" after <seconds> s, due in 2.0 s, with the key "<key>"
    When the report knows that the key ran <runs> times
    Then the report counts <attained> attained, <late> late, <refused> refused and <lost> lost

    Examples:
      | whole   | seconds | key | runs | attained | late | refused | lost |
      | whole   | 1.0     |     | 0    | 1        | 0    | 0       | 0    |
      | whole   | 2.0     |     | 0    | 1        | 0    | 0       | 0    |
      | whole   | 2.1     |     | 0    | 0        | 1    | 0       | 0    |
      | whole   | 1.0     | k   | 1    | 1        | 0    | 0       | 0    |
      | whole   | 1.0     | k   | 2    | 0        | 1    | 0       | 0    |
      | whole   | 1.0     | k   | 0    | 0        | 1    | 0       | 0    |
      | cut     | 1.0     |     | 0    | 0        | 0    | 0       | 1    |
      | refused | 0.1     |     | 0    | 0        | 0    | 1       | 0    |
      | silent  | 1.0     |     | 0    | 0        | 0    | 0       | 1    |

  Scenario Outline: Percentiles are values that were seen
    Then the report's percentile <percent> of "<values>" is <value>

    Examples:
      | percent | values      | value |
      | 50      |             | 0.0   |
      | 50      | 3           | 3.0   |
      | 50      | 4 1 3 2     | 2.0   |
      | 95      | 4 1 3 2     | 4.0   |
      | 99      | 1 2 3 4 5   | 5.0   |
      | 0       | 5 4         | 4.0   |

  Scenario: Losses are told by kind, status and code
    Given a report of an answer that is "cut" after 1.0 s, due in 2.0 s, with the key ""
    Then the report's losses are "text 200: 1"

  Scenario: Bytes across regions are weights and traffic
    Then the report of 5 GB of weights moved afar and 3 MB of traffic counts 5003000000 bytes across regions

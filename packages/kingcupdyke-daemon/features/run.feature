Feature: A cancelled attempt is running until its backend is cancelled or a timeout passes

  Scenario Outline: The deadline passes while the backend runs the attempt
    Given a run at a backend that never answers and takes <cancel> ms to cancel
    When the run passes its deadline of 20 ms
    Then the run ends with an unknown outcome
    And the run's backend was <state> at its end

    Examples:
      | cancel | state         |
      | 0      | cancelled     |
      | 100    | cancelled     |
      | 60000  | not cancelled |

  Scenario Outline: An engine's answer to a streaming request that is no stream is complete or a failure: <body>
    When an engine answers a streaming request with the JSON "<body>"
    Then the run's backend yields "<items>"

    Examples:
      | body          | items     |
      | {"error": 1}  | head part |
      | {"error":     | head fail |

  # Guards against a sidecar that exceeds its memory when it checks whether an answer is whole.
  Scenario Outline: An answer that is large once decoded is a failure: <kind>, <size> empty lists
    When an engine answers a <kind> request with <size> empty lists
    Then the run's backend yields "<items>"
    And the run has used at most 80 MB

    Examples:
      | kind      | size    | items     |
      | streaming | 3000000 | head fail |
      | whole     | 3000000 | fail      |
      | whole     | 1000    | head part |

  Scenario Outline: An engine's answer without end to a <kind> request is a failure
    When an engine answers a <kind> request with JSON without end
    Then the run's backend yields "<items>"

    Examples:
      | kind      | items     |
      | streaming | head fail |
      | whole     | fail      |

Feature: The logs lead from the id of a failed request to its cause

  Scenario Outline: <case>
    When walks: <case>
    And walks: the logs are searched for the request
    Then walks: the end record of the request contains "<end>"
    And walks: the timeline contains "<cause>"

    Examples:
      | case | end | cause |
      | a request is rejected under load | status=503 reason=the queue is longer than the deadline | queued_ms= |
      | a request is lost when its endpoint fails | status=502 endpoints=['e1'] | endpoint=e1 state=removed |
      | a request is served with a stale configuration | status=200 version=1 version_age_ms=9000 | configuration 2 is in force |

  Scenario: A blocked reader of the log does not block the process
    When walks: 20000 lines are logged to a stream that is not read
    Then walks: logging them took less than 5 s
    And walks: the dropped lines are counted

  Scenario: Every line is one JSON object with time, level and event
    When walks: lines with quotes, line breaks and an exception are logged
    Then walks: each line is one JSON object with its time, level and event

  Scenario: Log lines of successful requests are sampled, those of failures are not
    When walks: 1000 requests succeed and 50 are rejected within a second
    Then walks: 100 lines are logged for the successful requests, and the next one reports 900 skipped lines
    And walks: 50 lines are logged for the rejected requests

  Scenario: A process ends even if its log is not read
    When walks: a log that is not read, with a full buffer, is flushed with a timeout of 0.3 s
    Then walks: the flush took less than 1 s

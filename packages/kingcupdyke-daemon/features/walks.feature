Feature: From the id of a failed request to its cause, by logs only

  Scenario Outline: <case>
    When walks: <case>
    And walks: the logs are searched for the request as the page says
    Then walks: the end of the request tells "<end>"
    And walks: the story holds "<cause>"

    Examples:
      | case | end | cause |
      | a request is refused under load | status=503 reason=the queue is longer than the deadline | queued_ms= |
      | a request is lost with its endpoint | status=502 endpoints=['e1'] | endpoint=e1 state=removed |
      | a request is served by an old configuration | status=200 version=1 version_age_ms=9000 | configuration 2 is in force |

  Scenario: A reader of the logs that stops reading stops nothing
    When walks: 20000 lines are logged to a stream that nobody reads
    Then walks: logging them took less than 5 s
    And walks: the lines that were dropped are counted

  Scenario: Every line is one JSON object with time, level and event
    When walks: lines with quotes, line breaks and an exception are logged
    Then walks: each line is one JSON object with its time, level and event

  Scenario: Lines on requests that go well are bounded, others are not
    When walks: 1000 requests go well and 50 are refused within a second
    Then walks: 100 lines tell of those that went well, and the next one says that 900 were left out
    And walks: 50 lines tell of those that were refused

  Scenario: A process whose log nobody reads ends all the same
    When walks: a log that nobody reads, with its buffer full, is to be written within 0.3 s
    Then walks: that took less than 1 s

Feature: The longest pause of a stream is logged and measured, so that a slow endpoint can be told from a slow client

  # Guards against a pause that is missed, and against the wait for the first event, or a slow client,
  # counted as one.
  Scenario Outline: <case>
    When pauses: a client reads "<line>" from endpoints with the scripts "<scripts>"
    Then pauses: the longest pause was <pause>
    And pauses: the histogram of the route "<route>" has <count> pauses

    Examples:
      | case | line | scripts | pause | route | count |
      | the longest pause between events counts | GET /stream/1 | wait:0,0.1,0.4,0.1 | 400 ms | stream | 1 |
      | a pause within an event counts | GET /stream/1 | wait:0,half,0.4,0.1 | 400 ms | stream | 1 |
      | the time to the first event does not count | GET /stream/1 | wait:0.5,0.1,0.1 | 100 ms | stream | 1 |
      | a pause within the first event does not count | GET /stream/1 | wait:half,0.5,0.1 | 100 ms | stream | 1 |
      | the time until another endpoint continues the stream counts | GET /resume/1 | wait:0,0.1,cut; wait:0.4,0.1 | 400 ms | resume | 1 |
      | a stream of one event has no pause | GET /stream/1 | wait:0.3 | -1 ms | stream | 0 |
      | an answer that is no stream has no pause | GET /safe/1 | plain:0,0.3,0.1 | -1 ms | safe | 0 |

  Scenario: The time for which a slow client stops its stream is no pause
    When pauses: a client reads nothing for 1.5 s, and its stream is stopped meanwhile
    Then pauses: the longest pause was less than 500 ms

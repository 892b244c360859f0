@site
Feature: Each caller gets the whole answer to the own request

  Scenario Outline: An engine answers badly once
    When the switch <switch> of engine model-n1 is 1
    And the switch <switch> of engine model-n2 is 1
    And 8 callers ask chat-7b for 12 tokens at the same time at entry-n1
    Then each caller has the whole answer to the own request
    And the switch <switch> of engine model-n1 is 0
    And the switch <switch> of engine model-n2 is 0

    Examples:
      | switch        |
      | cross_answers |
      | truncate      |
      | double        |

  Scenario: Answers begin late
    When the switch late_answers_ms of engine model-n1 is 700
    And 6 callers ask chat-7b for 5 tokens at the same time at entry-n1
    Then each caller has the whole answer to the own request
    And the switch late_answers_ms of engine model-n1 is 0

  Scenario: The engine's connections go silent in the middle of a stream
    When a caller begins to ask chat-7b for 200 tokens at entry-n1, streamed
    And the switch freeze of engine model-n1 is on
    And the switch freeze of engine model-n2 is on
    Then in the end the caller has the whole answer

  Scenario: The connection between gateway and sidecar goes silent in the middle of a stream
    When a caller begins to ask south-3b for 200 tokens at entry-n1, streamed
    And the link from north to south has freeze on
    Then in the end the caller has the whole answer
    And the site is ready

  Scenario: The regions part for a while in the middle of a stream
    When a caller begins to ask south-3b for 300 tokens at entry-n1, streamed
    And the link from north to south has cut on
    And 1 s pass
    And the link from north to south has cut off
    Then in the end the caller has the whole answer or an error that says so
    And the site is ready

  Scenario: A sidecar is paused in the middle of a stream
    When a caller begins to ask plan-13b for 200 tokens at entry-n2, streamed
    And sidecar model-n1 is paused for 3 s
    Then in the end the caller has the whole answer or an error that says so
    And the site is ready

  Scenario: A sidecar is killed in the middle of a stream
    When a caller begins to ask chat-7b for 200 tokens at entry-n1, streamed
    And sidecar model-n2 is killed
    Then in the end the caller has the whole answer or an error that says so
    And sidecar model-n2 is started again
    And the site is ready

  Scenario: A sidecar is killed under whole requests, which go elsewhere
    When a caller begins to ask chat-7b for 100 tokens at entry-n1, whole
    And sidecar model-n2 is killed
    Then in the end the caller has the whole answer
    And sidecar model-n2 is started again
    And the site is ready
    And no stand-in saw a violation

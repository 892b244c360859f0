@site
Feature: Each caller receives the complete answer to its own request

  Scenario Outline: An engine sends one mixed-up, truncated or duplicated answer
    When the fault switch <switch> of engine model-n1 is set to 1
    And the fault switch <switch> of engine model-n2 is set to 1
    And 8 callers concurrently ask chat-7b for 12 tokens at entry-n1
    Then each caller receives the complete answer to its own request
    And the fault switch <switch> of engine model-n1 is set to 0
    And the fault switch <switch> of engine model-n2 is set to 0

    Examples:
      | switch        |
      | cross_answers |
      | truncate      |
      | double        |

  Scenario: Answers start late
    When the fault switch late_answers_ms of engine model-n1 is set to 700
    And 6 callers concurrently ask chat-7b for 5 tokens at entry-n1
    Then each caller receives the complete answer to its own request
    And the fault switch late_answers_ms of engine model-n1 is set to 0

  Scenario: The engine's connections stall in the middle of a stream
    When a caller starts a request to chat-7b for 200 tokens at entry-n1, streamed
    And the fault switch freeze of engine model-n1 is set to on
    And the fault switch freeze of engine model-n2 is set to on
    Then eventually the caller receives the complete answer

  Scenario: The connection between gateway and sidecar stalls in the middle of a stream
    When a caller starts a request to south-3b for 200 tokens at entry-n1, streamed
    And the link from north to south has fault switch freeze set to on
    Then eventually the caller receives the complete answer
    And the site is ready

  Scenario: The link between the regions is cut for a moment in the middle of a stream
    When a caller starts a request to south-3b for 300 tokens at entry-n1, streamed
    And the link from north to south has fault switch cut set to on
    And 1 s pass
    And the link from north to south has fault switch cut set to off
    Then eventually the caller receives the complete answer or an error with its outcome
    And the site is ready

  Scenario: A sidecar is paused in the middle of a stream
    When a caller starts a request to plan-13b for 200 tokens at entry-n2, streamed
    And sidecar model-n1 is paused for 3 s
    Then eventually the caller receives the complete answer or an error with its outcome
    And the site is ready

  Scenario: A sidecar is killed in the middle of a stream
    When a caller starts a request to chat-7b for 200 tokens at entry-n1, streamed
    And sidecar model-n2 is killed
    Then eventually the caller receives the complete answer or an error with its outcome
    And sidecar model-n2 is started again
    And the site is ready

  # A non-streamed request is retried at another endpoint, as the caller has received nothing yet.
  Scenario: A sidecar is killed under whole requests, which go elsewhere
    When a caller starts a request to chat-7b for 100 tokens at entry-n1, non-streamed
    And sidecar model-n2 is killed
    Then eventually the caller receives the complete answer
    And sidecar model-n2 is started again
    And the site is ready
    And no stand-in recorded a violation

@site
Feature: Planned stops truncate no answer, and a draining endpoint receives no new requests

  Scenario Outline: A process is stopped while a stream is open
    When a caller starts a request to <model> for 300 tokens at entry-n1, streamed
    And <process> is asked to stop
    Then eventually the caller receives the complete answer
    And <process> exits cleanly within 20 s
    When <process> is started again
    Then the site is ready

    Examples:
      | model    | process          |
      | plan-13b | sidecar model-n1 |
      | chat-7b  | sidecar model-n2 |
      | plan-13b | gateway entry-n1 |

  Scenario: A second stop signal has no further effect
    When a caller starts a request to plan-13b for 300 tokens at entry-n1, streamed
    And gateway entry-n1 is asked to stop
    And gateway entry-n1 is asked to stop
    Then eventually the caller receives the complete answer
    And gateway entry-n1 exits cleanly within 10 s
    When gateway entry-n1 is started again
    Then the site is ready

  Scenario: All gateways are restarted in turn under load
    When callers keep asking chat-7b while all gateways are restarted in turn
    Then no answer was truncated
    And the site is ready

  Scenario: A drained endpoint receives no new requests although the host list lags
    When the operator drains sidecar model-n2
    And 7 s pass
    And 12 callers concurrently ask chat-7b for 4 tokens at entry-n2
    Then each caller receives the complete answer to its own request
    And no answer came from model-n2
    And sidecar model-n2 exits cleanly within 20 s
    When sidecar model-n2 is started again
    Then the site is ready
    And no stand-in recorded a violation

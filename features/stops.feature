@site
Feature: Planned stops cut off nothing, and a leaving endpoint gets no new work

  Scenario Outline: A process is stopped while a stream is open
    When a caller begins to ask <model> for 300 tokens at entry-n1, streamed
    And <process> is asked to stop
    Then in the end the caller has the whole answer
    And <process> ends by itself within 20 s
    When <process> is started again
    Then the site is ready

    Examples:
      | model    | process          |
      | plan-13b | sidecar model-n1 |
      | chat-7b  | sidecar model-n2 |
      | plan-13b | gateway entry-n1 |

  Scenario: A second stop changes nothing
    When a caller begins to ask plan-13b for 300 tokens at entry-n1, streamed
    And gateway entry-n1 is asked to stop
    And gateway entry-n1 is asked to stop
    Then in the end the caller has the whole answer
    And gateway entry-n1 ends by itself within 10 s
    When gateway entry-n1 is started again
    Then the site is ready

  Scenario: All gateways are stopped in turn under load
    When callers keep asking chat-7b while all gateways are replaced in turn
    Then none of their answers was cut off
    And the site is ready

  Scenario: A drained endpoint gets no new work although the list lags
    When the operator drains sidecar model-n2
    And 7 s pass
    And 12 callers ask chat-7b for 4 tokens at the same time at entry-n2
    Then each caller has the whole answer to the own request
    And none of them came from model-n2
    And sidecar model-n2 ends by itself within 20 s
    When sidecar model-n2 is started again
    Then the site is ready
    And no stand-in saw a violation

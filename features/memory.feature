@site
Feature: Engine memory is never overcommitted and every model stays reachable

  Scenario Outline: Orders are lost or late while models are loaded again
    When the fault switch <switch> of engine model-n3 is set to <value>
    And the fault switch restart of engine model-n1 is set to on
    Then the site is ready
    And no stand-in recorded a violation
    And the fault switch <switch> of engine model-n3 is set to 0

    Examples:
      | switch           | value |
      | lose_orders      | 1     |
      | delay_orders_ms  | 900   |
      | late_answers_ms  | 900   |

  Scenario Outline: The endpoint host with the last replica of a model is killed
    When sidecar <host> is killed
    And engine <host> is killed
    Then <model> is reachable within 20 s at entry-n2
    And no stand-in recorded a violation
    And the host <host> is replaced
    And the site is ready

    Examples:
      | host     | model    |
      | model-s1 | south-3b |
      | model-n1 | plan-13b |

  Scenario: A sidecar is killed while a model load is in progress
    When the fault switch delay_orders_ms of engine model-n3 is set to 1500
    And the fault switch restart of engine model-n1 is set to on
    And 2 s pass
    And sidecar model-n3 is killed
    And sidecar model-n3 is started again
    And the fault switch delay_orders_ms of engine model-n3 is set to 0
    Then the site is ready
    And no stand-in recorded a violation

  Scenario: A paused sidecar resumes after its successor has started
    When sidecar model-n2 is paused and its successor is started
    And 2 s pass
    Then the site is ready
    And the paused sidecar resumes and rejects requests as superseded
    And no stand-in recorded a violation

  Scenario: The store is down while an engine restarts
    When the fault switch down of the store is set to on
    And the fault switch restart of engine model-n2 is set to on
    And 2 s pass
    And a caller asks chat-7b for 4 tokens at entry-n1, non-streamed
    Then the caller receives the complete answer
    And the fault switch down of the store is set to off
    And the site is ready
    And no stand-in recorded a violation

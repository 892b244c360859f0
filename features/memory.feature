@site
Feature: Memory is never overcommitted and every model stays reachable

  Scenario Outline: Orders go wrong while models are loaded anew
    When the switch <switch> of engine model-n3 is <value>
    And the switch restart of engine model-n1 is on
    Then the site is ready
    And no stand-in saw a violation
    And the switch <switch> of engine model-n3 is 0

    Examples:
      | switch           | value |
      | lose_orders      | 1     |
      | delay_orders_ms  | 900   |
      | late_answers_ms  | 900   |

  Scenario Outline: An endpoint host dies with the last replica
    When sidecar <host> is killed
    And engine <host> is killed
    Then <model> is reachable within 20 s at entry-n2
    And no stand-in saw a violation
    And the host <host> is replaced
    And the site is ready

    Examples:
      | host     | model    |
      | model-s1 | south-3b |
      | model-n1 | plan-13b |

  Scenario: A sidecar is killed while a load is under way
    When the switch delay_orders_ms of engine model-n3 is 1500
    And the switch restart of engine model-n1 is on
    And 2 s pass
    And sidecar model-n3 is killed
    And sidecar model-n3 is started again
    And the switch delay_orders_ms of engine model-n3 is 0
    Then the site is ready
    And no stand-in saw a violation

  Scenario: A sidecar is paused, its successor begins, and it wakes
    When sidecar model-n2 is frozen and a successor is started
    And 2 s pass
    Then the site is ready
    And the frozen one wakes and takes no work
    And no stand-in saw a violation

  Scenario: The store is down while an engine restarts
    When the switch down of the store is on
    And the switch restart of engine model-n2 is on
    And 2 s pass
    And a caller asks chat-7b for 4 tokens at entry-n1, whole
    Then the caller has the whole answer
    And the switch down of the store is off
    And the site is ready
    And no stand-in saw a violation

@site
Feature: A booking runs at most once, and what is said of it is true

  Scenario: The same key pressed at all gateways at once
    When a booking with the key "k-together" is pressed 6 times at once at all gateways
    Then a refusal among the answers says what happened
    And repeating it confirms it within 5 s
    And the booking ran 1 times

  Scenario: The key comes again with another body
    When a booking with the key "k-reuse" is pressed at entry-n1
    And another booking with the key "k-reuse" is pressed at entry-n2
    Then the answer is 422 with the code "key_reused"
    And the booking ran 1 times

  Scenario: The key comes again while it still runs
    When the services have slow_ms 1500
    And a booking with the key "k-runs" begins at entry-n1
    And a booking with the key "k-runs" is pressed at entry-n2
    Then the answer is 409 and says "unknown"
    And the answer says when to come back
    And repeating it confirms it within 5 s
    And the booking ran 1 times

  Scenario: The service's answer is lost after it ran
    When the services have lose_answers 1
    And a booking with the key "k-lost" is pressed at entry-n1
    Then the answer is 504 and says "unknown"
    When the services have lose_answers 0
    And a booking with the key "k-lost" is pressed at entry-n2
    Then the answer is 409 and says "unknown"
    And the booking ran 1 times

  Scenario: The store's answer to the claim is lost
    When the switch lose_answers of the store is 1
    And a booking with the key "k-claim" is pressed at entry-n1
    Then the booking ran at most once
    And repeating it confirms it within 8 s
    And the booking ran 1 times

  Scenario: A store outage refuses truly and at once
    When the switch down of the store is on
    And a booking with the key "k-outage" is pressed at entry-n1
    Then the answer is 503 and says "not_run"
    And the answer says when to come back
    And the answer came within 3 s
    And the booking ran 0 times
    When the switch down of the store is off
    Then repeating it confirms it within 8 s
    And the booking ran 1 times

  Scenario: Reads and drafts go on in a store outage
    When the switch down of the store is on
    And a caller asks chat-7b for 5 tokens at entry-n1, whole
    Then the caller has the whole answer
    And the switch down of the store is off

  Scenario: The gateway dies while the booking runs
    When the services have slow_ms 800
    And a booking with the key "k-gateway" begins at entry-n2
    And gateway entry-n2 is killed
    Then repeating it confirms it within 8 s
    And the booking ran 1 times
    And the services have slow_ms 0
    And gateway entry-n2 is started again
    And the site is ready

  Scenario Outline: A sidecar dies while the booking runs
    When the services have slow_ms 800
    And a booking with the key "<key>" begins at entry-n1
    And sidecar <sidecar> is killed
    And a booking with the key "<key>" is pressed at entry-s1
    Then the booking ran at most once
    And the services have slow_ms 0
    And sidecar <sidecar> is started again
    And the site is ready

    Examples:
      | key     | sidecar |
      | k-side1 | app-n1  |
      | k-side2 | app-n2  |

  Scenario: A sidecar is paused while it holds a key
    When the services have slow_ms 600
    And a booking with the key "k-pause" begins at entry-n1
    And sidecar app-n1 is paused for 3 s
    And sidecar app-n2 is paused for 3 s
    Then the booking ran at most once
    And the services have slow_ms 0
    And the site is ready
    And repeating it confirms it within 8 s
    And the booking ran 1 times

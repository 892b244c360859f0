@site
Feature: A booking runs at most once, and its reported outcome is correct

  Scenario: The same key is sent to all gateways concurrently
    When a booking with the key "k-together" is sent 6 times concurrently across all gateways
    Then at least one booking succeeds and each rejection has its outcome
    And a duplicate request confirms it within 5 s
    And the booking ran 1 times

  Scenario: The key is sent again with a different body
    When a booking with the key "k-reuse" is sent to entry-n1
    And a different booking with the key "k-reuse" is sent to entry-n2
    Then the response has status 422 and code "key_reused"
    And the booking ran 1 times

  Scenario: The key is sent again while its booking still runs
    When the services have fault switch slow_ms set to 1500
    And a booking with the key "k-runs" starts to run through entry-n1
    And a booking with the key "k-runs" is sent to entry-n2
    Then the response has status 409 and outcome "unknown"
    And the response has a retry-after time
    And a duplicate request confirms it within 5 s
    And the booking ran 1 times

  Scenario: The service's answer is lost after the booking ran
    When the services have fault switch lose_answers set to 1
    And a booking with the key "k-lost" is sent to entry-n1
    Then the response has status 504 and outcome "unknown"
    When the services have fault switch lose_answers set to 0
    And a booking with the key "k-lost" is sent to entry-n2
    Then the response has status 409 and outcome "unknown"
    And the booking ran 1 times

  Scenario: The store's answer to the claim is lost
    When the fault switch lose_answers of the store is set to 1
    And a booking with the key "k-claim" is sent to entry-n1
    Then the booking ran at most once
    And a duplicate request confirms it within 8 s
    And the booking ran 1 times

  Scenario: In a store outage, bookings are rejected immediately and do not run
    When the fault switch down of the store is set to on
    And a booking with the key "k-outage" is sent to entry-n1
    Then the response has status 503 and outcome "not_run"
    And the response has a retry-after time
    And the response arrives within 3 s
    And the booking ran 0 times
    When the fault switch down of the store is set to off
    Then a duplicate request confirms it within 8 s
    And the booking ran 1 times

  Scenario: In a store outage, models still answer
    When the fault switch down of the store is set to on
    And a caller asks chat-7b for 5 tokens at entry-n1, non-streamed
    Then the caller receives the complete answer
    And the fault switch down of the store is set to off

  Scenario: The gateway is killed while the booking runs
    When the services have fault switch slow_ms set to 800
    And a booking with the key "k-gateway" starts to run through entry-n2
    And gateway entry-n2 is killed
    Then a duplicate request confirms it within 8 s
    And the booking ran 1 times
    And the services have fault switch slow_ms set to 0
    And gateway entry-n2 is started again
    And the site is ready

  Scenario Outline: A sidecar is killed while the booking runs
    When the services have fault switch slow_ms set to 800
    And a booking with the key "<key>" starts to run through entry-n1
    And sidecar <sidecar> is killed
    And a booking with the key "<key>" is sent to entry-s1
    Then the booking ran at most once
    And the services have fault switch slow_ms set to 0
    And sidecar <sidecar> is started again
    And the site is ready

    Examples:
      | key     | sidecar |
      | k-side1 | app-n1  |
      | k-side2 | app-n2  |

  Scenario: The sidecars are paused while the booking runs
    When the services have fault switch slow_ms set to 600
    And a booking with the key "k-pause" starts to run through entry-n1
    And sidecar app-n1 is paused for 3 s
    And sidecar app-n2 is paused for 3 s
    Then the booking ran at most once
    And the services have fault switch slow_ms set to 0
    And the site is ready
    And a duplicate request confirms it within 8 s
    And the booking ran 1 times

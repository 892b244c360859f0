@site
Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: A change comes into force
    When the operator adds a rule
    Then the new version is in force everywhere within 5 s

  Scenario: The watches on the store stall
    When the fault switch silent_watches of the store is set to on
    And the operator adds a rule
    Then the new version is in force everywhere within 10 s
    And the fault switch silent_watches of the store is set to off

  Scenario: The store goes down right after it accepted a change
    When the fault switch silent_watches of the store is set to on
    And the operator adds a rule
    And the fault switch down of the store is set to on
    Then the new version is in force everywhere within 10 s
    And the fault switch down of the store is set to off

  Scenario: A gateway that watches the store is killed
    When gateway entry-s1 is killed
    And the operator adds a rule
    Then the new version is in force everywhere within 10 s
    And gateway entry-s1 is started again
    And the site is ready

  Scenario: A gateway that starts in a store outage receives the rules from its peers
    When gateway entry-n2 is killed
    And the fault switch down of the store is set to on
    And gateway entry-n2 is started again
    Then the current version is in force everywhere within 10 s
    When a caller asks chat-7b for 4 tokens at entry-n2, non-streamed
    Then the caller receives the complete answer
    And the fault switch down of the store is set to off

  Scenario: The store's answer to an applied change is lost
    When the fault switch lose_answers of the store is set to 1
    And the operator adds a rule
    Then the operators' tool reports that the change is applied
    And the new version is in force everywhere within 10 s

  Scenario: Two operators change the rules concurrently
    When two operators concurrently change the rules of the same version
    Then one change is applied and the other operator receives the conflicting lines
    And the new version is in force everywhere within 10 s

  Scenario: The regions are partitioned and reconnected
    When the link from south to north has fault switch cut set to on
    And the link from north to south has fault switch cut set to on
    And the operator adds a rule
    And 2 s pass
    And the link from south to north has fault switch cut set to off
    And the link from north to south has fault switch cut set to off
    Then the new version is in force everywhere within 13 s
    And no configuration version has decreased

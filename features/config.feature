@site
Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: A change comes into force
    When the operator adds a rule
    Then the new version is in force everywhere within 5 s

  Scenario: The watches go silent
    When the switch silent_watches of the store is on
    And the operator adds a rule
    Then the new version is in force everywhere within 10 s
    And the switch silent_watches of the store is off

  Scenario: The store goes down right after it accepted
    When the switch silent_watches of the store is on
    And the operator adds a rule
    And the switch down of the store is on
    Then the new version is in force everywhere within 10 s
    And the switch down of the store is off

  Scenario: A watcher is killed
    When gateway entry-s1 is killed
    And the operator adds a rule
    Then the new version is in force everywhere within 10 s
    And gateway entry-s1 is started again
    And the site is ready

  Scenario: A gateway starts in a store outage and takes the rules of its peers
    When gateway entry-n2 is killed
    And the switch down of the store is on
    And gateway entry-n2 is started again
    Then the current version is in force everywhere within 10 s
    When a caller asks chat-7b for 4 tokens at entry-n2, whole
    Then the caller has the whole answer
    And the switch down of the store is off

  Scenario: The store's answer to apply is lost
    When the switch lose_answers of the store is 1
    And the operator adds a rule
    Then the operator is told that it is applied
    And the new version is in force everywhere within 10 s

  Scenario: Two operators race
    When two operators change rules against the same version
    Then one is applied and the other is told of the rival's lines
    And the new version is in force everywhere within 10 s

  Scenario: The regions part and meet again
    When the link from south to north has cut on
    And the link from north to south has cut on
    And the operator adds a rule
    And 2 s pass
    And the link from south to north has cut off
    And the link from north to south has cut off
    Then the new version is in force everywhere within 13 s
    And no version was seen to fall

# Guards against a process that waits for news which its peers have had, and against needless calls.
Feature: A change that only peers know for some time counts as missed

  Scenario Outline: <case>
    When missedchange: "<script>" happens
    Then missedchange: the store is asked again at "<times>"

    Examples:
      | case | script | times |
      | nothing is named | 0 read 5; 3 end | - |
      | what is known already is no reason | 0 read 5; 1 named 5; 3 end | - |
      | a change that arrives a little later was not missed | 0 read 5; 1 named 7; 1.3 read 7; 3 end | - |
      | a change that does not arrive was missed | 0 read 5; 1 named 7; 2.5 end | 1.6 |
      | it arrives with the check | 0 read 5; 1 named 7; 1.7 read 7; 9 end | 1.6 |
      | a position that nobody can read costs a check every two seconds | 0 read 5; 1 named 99; 6 end | 1.6 3.6 5.6 |
      | changes that come all the time are not missed as long as each arrives soon | 0 read 5; 1 named 7; 1.2 named 8; 1.3 read 7; 1.6 named 9; 1.7 read 8; 2.1 read 9; 4 end | - |
      | a named change of the past changes nothing | 0 read 5; 1 named 7; 1.2 named 3; 1.3 read 7; 4 end | - |

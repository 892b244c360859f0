Feature: A planner's seat at an engine follows orders, entries and reports

  Scenario Outline: <case>
    When seat: "<events>" happens to an engine that holds "m1+a1"
    Then seat: it <takes> orders and holds "<held>" after <count> orders

    Examples:
      | case | events | takes | held | count |
      | nothing is ordered before a report | | refuses | m1+a1 | 0 |
      | a report opens it | report 0 m1+a1 | takes | m1+a1 | 0 |
      | a busy engine takes no orders | busy 3 m1+a1 | refuses | m1+a1 | 3 |
      | a load is open until the engine shows it | report 0 m1+a1; load m2; accepted | refuses | m1+a1 | 1 |
      | its entry shows it | report 0 m1+a1; load m2; accepted; entry 2 m1+a1,m2 | takes | m1+a1 m2 | 1 |
      | a report shows it | report 0 m1+a1; load m2; accepted; report 1 m1+a1,m2 | takes | m1+a1 m2 | 1 |
      | a report from before the order does not count | report 0 m1+a1; load m2; accepted; report 0 m1+a1 | refuses | m1+a1 | 1 |
      | an entry from before the order does not count | entry 5 m1+a1; report 0 m1+a1; unload m1; accepted; entry 4 m2 | refuses | m1+a1 | 1 |
      | an unload ends when its entry lacks the model | report 0 m1+a1; unload m1; accepted; entry 2 - | takes | - | 1 |
      | an adapter's load is counted at once | report 0 m1+a1; adapter a2; accepted | takes | m1+a1+a2 | 1 |
      | a conflict asks for a report first | report 0 m1+a1; load m2; conflict | refuses | m1+a1 | 0 |
      | which settles it | report 0 m1+a1; load m2; conflict; report 4 m1+a1 | takes | m1+a1 | 4 |
      | a lost answer keeps the order open | report 0 m1+a1; load m2; unknown | refuses | m1+a1 | 0 |
      | an entry does not settle a lost answer | report 0 m1+a1; load m2; unknown; entry 2 m1+a1,m2 | refuses | m1+a1 | 0 |
      | nor does it hide an adapter that was ordered before | report 0 m1+a1; adapter a2; accepted; adapter a3; unknown; entry 2 m1+a1+a2 | refuses | m1+a1+a2 | 1 |
      | nor does an older entry after a report | report 0 m1+a1; adapter a2; accepted; report 1 m1+a1+a2; entry 2 m1+a1 | takes | m1+a1+a2 | 1 |
      | adapters go with their model | report 0 m1+a1; adapter a2; accepted; unload m1; accepted; entry 2 m2 | takes | m2 | 2 |
      | sent again and accepted, it is an order like any | report 0 m1+a1; load m2; unknown; again; accepted; report 1 m1+a1,m2 | takes | m1+a1 m2 | 1 |
      | a refusal asks for a report | report 0 m1+a1; load m2; refused | refuses | m1+a1 | 0 |
      | a restart forgets everything | report 7 m1+a1; restart 1 -; report 0 - | takes | - | 0 |
      | a restarted engine takes nothing before its report | report 7 m1+a1; restart 1 - | refuses | - | 0 |

  Scenario Outline: While an engine carries out an order, its planner asks for its report: <case>
    When seat: "<events>" happens to an engine that holds "m1+a1"
    Then seat: in the next 3 s its report is asked for <times> times

    Examples:
      | case | events | times |
      | during a load, to notice when the engine is lost | report 0 m1+a1; longload m2; accepted | 3 |
      | also where reports say that it is busy | report 0 m1+a1; longload m2; accepted; busy 1 m1+a1 | 3 |
      | not where no order is open | report 0 m1+a1 | 0 |
      | sooner after a question without an answer | report 0 m1+a1; longload m2; accepted; mute | 10 |

  Scenario Outline: Engines under a planner, lost and late orders, restarts and new planners: seed <seed>
    When seat: <engines> engines of 200 GB with models of "<sizes>" GB live for 120 s under faults, with seed <seed>
    Then seat: no engine was ever told to hold more than its memory and adapter places
    And seat: in no 5 s did more loads from the weight store begin than its rate allows
    And seat: each model that was asked for was held at some time

    Examples:
      | engines | sizes | seed |
      | 3 | 60 70 70 60 30 70 | 1 |
      | 3 | 60 70 70 60 30 70 | 2 |
      | 3 | 60 70 70 60 30 70 | 3 |
      | 2 | 90 90 90 90 10 | 4 |
      | 5 | 65 73 73 34 73 73 73 65 73 66 73 73 65 66 | 5 |
      | 5 | 65 73 73 34 73 73 73 65 73 66 73 73 65 66 | 6 |

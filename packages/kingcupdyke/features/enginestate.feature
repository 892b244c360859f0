Feature: A planner's record of an engine follows orders, entries and reports

  Scenario Outline: <case>
    When enginestate: "<events>" happens to an engine that holds "m1+a1"
    Then enginestate: it <accepts> orders and holds "<held>" after <count> orders

    Examples:
      | case | events | accepts | held | count |
      | no order is accepted before a report | | rejects | m1+a1 | 0 |
      | a report permits orders | report 0 m1+a1 | accepts | m1+a1 | 0 |
      | a busy engine accepts no orders | busy 3 m1+a1 | rejects | m1+a1 | 3 |
      | a load is open until the engine shows it | report 0 m1+a1; load m2; accepted | rejects | m1+a1 | 1 |
      | its entry shows the load | report 0 m1+a1; load m2; accepted; entry 2 m1+a1,m2 | accepts | m1+a1 m2 | 1 |
      | a report shows the load | report 0 m1+a1; load m2; accepted; report 1 m1+a1,m2 | accepts | m1+a1 m2 | 1 |
      | a report from before the order does not count | report 0 m1+a1; load m2; accepted; report 0 m1+a1 | rejects | m1+a1 | 1 |
      | an entry from before the order does not count | entry 5 m1+a1; report 0 m1+a1; unload m1; accepted; entry 4 m2 | rejects | m1+a1 | 1 |
      | an unload ends when its entry lacks the model | report 0 m1+a1; unload m1; accepted; entry 2 - | accepts | - | 1 |
      | an adapter counts as loaded immediately | report 0 m1+a1; adapter a2; accepted | accepts | m1+a1+a2 | 1 |
      | after a conflict, a report is needed | report 0 m1+a1; load m2; conflict | rejects | m1+a1 | 0 |
      | also if the engine was busy without a further order | report 0 m1+a1; load m2; conflict; busy 0 m1+a1; report 0 m1+a1 | accepts | m1+a1 | 0 |
      | the report after a conflict permits orders | report 0 m1+a1; load m2; conflict; report 4 m1+a1 | accepts | m1+a1 | 4 |
      | a lost answer keeps the order open | report 0 m1+a1; load m2; unknown | rejects | m1+a1 | 0 |
      | an entry does not settle a lost answer | report 0 m1+a1; load m2; unknown; entry 2 m1+a1,m2 | rejects | m1+a1 | 0 |
      | nor does it remove an adapter that was ordered before | report 0 m1+a1; adapter a2; accepted; adapter a3; unknown; entry 2 m1+a1+a2 | rejects | m1+a1+a2 | 1 |
      | nor does an older entry after a report remove it | report 0 m1+a1; adapter a2; accepted; report 1 m1+a1+a2; entry 2 m1+a1 | accepts | m1+a1+a2 | 1 |
      | adapters are unloaded with their model | report 0 m1+a1; adapter a2; accepted; unload m1; accepted; entry 2 - | accepts | - | 2 |
      | an order that is accepted when it is sent again is complete | report 0 m1+a1; load m2; unknown; resend; accepted; report 1 m1+a1,m2 | accepts | m1+a1 m2 | 1 |
      | the time between questions for a report grows while its answers are faulty | faultyreport 0.6 1.2 2.4 2.4 | rejects | m1+a1 | 0 |
      | a report after them permits orders | faultyreport 0.6 1.2; report 0 m1+a1 | accepts | m1+a1 | 0 |
      | a restart ends the wait for the next question | faultyreport 0.6 1.2 2.4; restart 1 -; faultyreport 0.6 | rejects | - | 0 |
      | the time until an order is sent again grows while its answers are faulty | report 0 m1+a1; load m2; faulty 0.2 0.4 0.8 0.8 | rejects | m1+a1 | 0 |
      | a report settles an order whose answers are faulty | report 0 m1+a1; load m2; faulty 0.2; report 1 m1+a1,m2 | accepts | m1+a1 m2 | 1 |
      | after a rejection, a report is needed | report 0 m1+a1; load m2; refused | rejects | m1+a1 | 0 |
      | a restart discards everything | report 7 m1+a1; restart 1 -; report 0 - | accepts | - | 0 |
      | an engine that has requested backoff accepts none | report 0 m1+a1; backoff | rejects | m1+a1 | 0 |
      | nor is one sent again | report 0 m1+a1; load m2; unknown; backoff; resendnothing | rejects | m1+a1 | 0 |
      | after its backoff it accepts orders | report 0 m1+a1; backoff; accept | accepts | m1+a1 | 0 |
      | an engine that has said in an answer that it leaves accepts none, with its entry as before | report 0 m1+a1; leave | rejects | m1+a1 | 0 |
      | a report of the process before a restart does not count | report 7 m1+a1; restart 1 -; former 7 m1+a1 | rejects | - | 0 |
      | a report of a later start is a restart | report 7 m1+a1; later 0 - | accepts | - | 0 |
      | the entry of that start changes nothing then | report 7 m1+a1; later 1 m2; restart 1 - | accepts | m2 | 1 |
      | an entry from before that start comes late | report 7 m1+a1; later 1 m2; entry 9 m1+a1 | accepts | m2 | 1 |
      | a report that names no start is one of the known process | report 7 m1+a1; unnamed 8 m1 | accepts | m1 | 8 |
      | a restarted engine accepts nothing before its report | report 7 m1+a1; restart 1 - | rejects | - | 0 |

  Scenario Outline: An order is never sent with a number that was learnt after it was decided on: <case>
    When enginestate: "<events>" happens to an engine that holds "m1+a1"
    Then enginestate: the open order expects <count> orders

    Examples:
      | case | events | count |
      | a busy engine reports another planner's order before it is sent again | report 0 m1+a1; load m2; unknown; busy 1 m1+a1; resend | 0 |
      | a report comes before the first call | report 0 m1+a1; load m2; busy 1 m1+a1 | 0 |
      | the next order has the new number | report 0 m1+a1; load m2; accepted; report 1 m1+a1,m2; load m3 | 1 |

  Scenario Outline: The number of accepted orders is never ahead of the engine's: <case>
    When enginestate: "<events>" happens to an engine that holds "m1+a1"
    Then enginestate: it <accepts> orders and holds "<held>" after <count> orders

    Examples:
      | case | events | accepts | held | count |
      | an engine that is already so has accepted nothing | report 0 m1+a1; load m2; holds | rejects | m1+a1 | 0 |
      | its next report counts | report 0 m1+a1; load m2; holds; report 0 m1+a1,m2 | accepts | m1+a1 m2 | 0 |
      | the same for an adapter | report 0 m1+a1; adapter a2; holds; report 0 m1+a1+a2 | accepts | m1+a1+a2 | 0 |
      | an unload of an adapter is complete at once | report 0 m1+a1; unloadadapter a1; holds | accepts | m1 | 1 |
      | a report comes before the answer | report 0 m1+a1; load m2; busy 1 m1+a1; accepted | rejects | m1+a1 | 1 |

  Scenario Outline: An entry from before what is known frees no room: <case>
    When enginestate: "<events>" happens to an engine that holds "m1+a1"
    Then enginestate: it <accepts> orders and holds "<held>" after <count> orders

    Examples:
      | case | events | accepts | held | count |
      | from before a load that a report has shown | report 0 m1+a1; load m2; accepted; report 1 m1+a1,m2; entry 2 m1+a1 | accepts | m1+a1 m2 | 1 |
      | from before a load that an entry has shown, with a model loaded before it | report 0 m1+a1,m3; load m2; accepted; entry 2 m2 | accepts | m1+a1 m2 m3 | 1 |
      | from before an adapter of an earlier planner | report 1 m1+a1+a2; entry 2 m1+a1 | accepts | m1+a1+a2 | 1 |
      | from before a model of an earlier planner | report 1 m1+a1,m2; entry 2 m1+a1 | accepts | m1+a1 m2 | 1 |
      | from before an unload that a report has shown | report 0 m1+a1,m2; unload m2; accepted; report 1 m1+a1; entry 2 m1+a1,m2 | accepts | m1+a1 | 1 |
      | from before an adapter was unloaded | report 0 m1+a1; unloadadapter a1; holds; entry 2 m1+a1 | accepts | m1 | 1 |

  Scenario Outline: While an engine executes an order, its planner requests its report: <case>
    When enginestate: "<events>" happens to an engine that holds "m1+a1"
    Then enginestate: in the next 3 s its report is requested <times> times

    Examples:
      | case | events | times |
      | during a load, to notice when the engine is lost | report 0 m1+a1; longload m2; accepted | 3 |
      | also if reports state that the engine is busy | report 0 m1+a1; longload m2; accepted; busy 1 m1+a1 | 3 |
      | not if no order is open | report 0 m1+a1 | 0 |
      | until it comes, if an entry shows another model | report 0 m1+a1; entry 2 m1+a1,m2 | 10 |
      | until it comes, if an entry lacks a model | report 0 m1+a1,m2; entry 2 m1+a1 | 10 |
      | not if an entry lacks an adapter that was ordered after the entry before it | report 0 m1+a1; adapter a2; accepted; entry 2 m1+a1 | 0 |
      | but if the next entry lacks it too | report 0 m1+a1; adapter a2; accepted; entry 2 m1+a1; entry 3 m1+a1 | 10 |
      | sooner after a request without an answer | report 0 m1+a1; longload m2; accepted; unanswered | 10 |

  Scenario Outline: Engines stay within their limits with lost and late orders, restarts and new planners: seed <seed>
    When enginestate: <engines> engines of 200 GB with models of "<sizes>" GB run for 120 s under faults, with seed <seed>
    Then enginestate: no engine was ever ordered to hold more than its memory and adapter slots
    And enginestate: in no 5 s did more loads from the weight store begin than its rate allows
    And enginestate: each requested model was held at some time

    Examples:
      | engines | sizes | seed |
      | 3 | 60 70 70 60 30 70 | 1 |
      | 3 | 60 70 70 60 30 70 | 2 |
      | 3 | 60 70 70 60 30 70 | 3 |
      | 2 | 90 90 90 90 10 | 4 |
      | 5 | 65 73 73 34 73 73 73 65 73 66 73 73 65 66 | 5 |
      | 5 | 65 73 73 34 73 73 73 65 73 66 73 73 65 66 | 6 |

  Scenario Outline: Engines stay within their limits also if their list fails and old entries come: seed <seed>
    When enginestate: <engines> engines of 200 GB with models of "<sizes>" GB run for 240 s under faults and outages of their list, with seed <seed>
    Then enginestate: no engine was ever ordered to hold more than its memory and adapter slots
    And enginestate: each requested model was held at some time

    Examples:
      | engines | sizes | seed |
      | 3 | 60 70 70 60 30 70 | 11 |
      | 3 | 60 70 70 60 30 70 | 12 |
      | 2 | 90 90 90 90 10 | 13 |
      | 5 | 65 73 73 34 73 73 73 65 73 66 73 73 65 66 | 14 |

Feature: Admission decides immediately and shares the capacity

  # Each queued or running request takes one second; the queue holds 100.
  Scenario Outline: A request that cannot meet its deadline is refused when it is offered
    Given an admission queue of 2 with <running> running and <waiting> waiting
    When admission is offered a request that takes <estimate> with <left> s until its deadline
    Then admission answers <answer>

    Examples:
      | running | waiting | estimate | left | answer   |
      | 0       | 0       | 1        | 1.5  | admitted |
      | 0       | 0       | 1        | 0.5  | refused  |
      | 2       | 0       | 1        | 2.2  | queued   |
      | 2       | 0       | 1        | 1.2  | refused  |
      | 2       | 8       | 1        | 5    | refused  |
      | 2       | 8       | 1        | 7    | queued   |
      | 2       | 100     | 1        | 900  | refused  |

  Scenario Outline: In a burst, decisions are prompt, interactive deadlines hold and batch progresses
    Given an admission simulation of capacity 8 and service of half a second
    When admission gets <interactive> interactive and <batch> batch requests a second for 10 s
    Then every admission decision is final, and every later refusal came within <held> seconds
    And admission kept every interactive deadline of 2 seconds
    And admission completed <done_i> interactive and <done_b> batch requests at least

    # The capacity is sixteen requests a second.
    Examples:
      | interactive | batch | held | done_i | done_b |
      | 10          | 2     | 0    | 95     | 19     |
      | 160         | 2     | 0.1  | 130    | 15     |
      | 160         | 40    | 0.1  | 120    | 17     |
      | 0           | 40    | 0.1  | 0      | 110    |

  Scenario: Queued requests that can no longer meet their deadline are refused immediately
    Given an admission queue of 8 with 8 running and 16 waiting
    Then admission whose capacity falls to 1 refuses the late requests immediately and none later

  Scenario Outline: Callers share by weight, whatever number of requests each offers
    Then admission of <first> referee and <second> club, weight <weight>, sends <share> of club

    # Of the next thirty admissions.
    Examples:
      | first | second | weight | share |
      | 40    | 40     | 1      | 15    |
      | 60    | 20     | 1      | 15    |
      | 40    | 40     | 2      | 20    |
      | 40    | 40     | 0.5    | 10    |

  Scenario Outline: A full queue evicts a request of the class or caller with more than its share
    Given an admission queue of capacity 1 with 1 running and a full queue of <holder>
    When admission is offered one more of <caller>
    Then admission answers <answer> and evicts <victims> others as not run

    Examples:
      | holder                          | caller              | answer  | victims |
      | interactive referee             | interactive referee | refused | 0       |
      | interactive referee             | interactive club    | queued  | 1       |
      | interactive referee             | batch club          | refused | 0       |
      | batch referee                   | interactive club    | queued  | 0       |
      | batch referee                   | batch club          | queued  | 1       |
      | batch referee and 2 interactive | interactive referee | queued  | 1       |
      | batch referee                   | batch referee       | refused | 0       |

  Scenario Outline: Batch requests leave capacity free only while there are interactive requests
    Then admission <ago> s after an interactive request runs <running> of 20 batch requests

    Examples:
      | ago | running |
      | 1   | 6       |
      | 31  | 8       |

  Scenario Outline: A queued request that became late or was cancelled is not started
    Given an admission queue of capacity 1 with 1 running and a full queue of batch referee
    When admission gets event <event> and the running request ends at second <end>
    Then admission starts <started> request and refuses <refused> queued ones

    # The queued requests take one second each and have their deadline at second 1000.
    Examples:
      | event                            | end   | started | refused |
      | nothing                          | 1     | 1       | 0       |
      | nothing                          | 999.5 | 0       | 6       |
      | all cancelled                    | 1     | 0       | 0       |
      | the last displaced               | 1     | 1       | 1       |
      | the last displaced and cancelled | 1     | 1       | 0       |

  Scenario: In any order of events, no request is lost or duplicated and the capacity is kept
    Then the admission queue keeps its invariants in any order of events

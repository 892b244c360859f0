Feature: A configuration change is applied at most once, even when answers are lost

  Scenario Outline: The reported outcome is proven by the log, or unknown
    When acceptance of the change "own" on version 5 receives <answers>
    Then acceptance ends as <result> after <creates> creates

    Examples: no failures, with and without a concurrent change
      | answers                              | result        | creates |
      | log 5, created                       | applied 6     | 1       |
      | log 6 rival                          | conflict 6    | 0       |
      | log 7 rival rival                    | conflict 6 7  | 0       |
      | log 5, taken, log 6 rival            | conflict 6    | 1       |
      | log 3                                | not applied   | 0       |

    Examples: the store is unavailable before anything was written
      | answers                              | result        | creates |
      | not run                              | not applied   | 0       |
      | unknown                              | not applied   | 0       |
      | log 5, not run                       | not applied   | 1       |

    Examples: the answer to the write is lost
      | answers                                             | result       | creates |
      | log 5, unknown, log 6 own                           | applied 6    | 1       |
      | log 5, unknown, log 7 own rival                     | applied 6    | 1       |
      | log 5, unknown, log 6 rival                         | conflict 6   | 1       |
      | log 5, taken, log 6 own                             | applied 6    | 1       |
      | log 5, unknown, log 5, created                      | applied 6    | 2       |
      | log 5, unknown, log 5, taken, log 6 own             | applied 6    | 2       |
      | log 5, unknown, log 5, not run, log 6 own           | applied 6    | 2       |
      | log 5, unknown, log 5, not run, not run, not run, not run | unknown | 2      |
      | log 5, unknown, not run, unknown, not run, not run  | unknown      | 1       |
      | log 5, unknown, unknown, unknown, log 6 own         | applied 6    | 1       |

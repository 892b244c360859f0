Feature: The outcome of an attempt is true

  # An attempt that needs a claim has its deadline at 10 s. In a script "send" is at 0 s and
  # "send=S" at S seconds; "fail" is a failure seen here, "said" one that the back end answered,
  # "unsent" that the back end was not reached after all, so that no byte left.

  Scenario Outline: An attempt is sent at most once, and "not run" means that nothing was sent: <case>
    When attempt plays "<script>"
    Then attempt gave "<outcomes>", sent <sent> times, and settles its key as "<key>"

    Examples:
      | case                           | script                          | outcomes                | sent | key      |
      | timeout before the claim       | fail                            | not_run                 | 0    | open     |
      | timeout after the claim        | claimed fail                    | not_run                 | 0    | not_run  |
      | timeout after it was sent      | claimed send fail               | unknown                 | 1    | unknown  |
      | timeout after the start        | claimed send started fail       | unknown                 | 1    | unknown  |
      | timeout after the end          | claimed send started ended fail | unknown                 | 1    | answered |
      | back end says that it failed   | claimed send said               | failed                  | 1    | answered |
      | back end fails mid-stream      | claimed send started said       | failed                  | 1    | answered |
      | whole answer                   | claimed send started ended      | none                    | 1    | answered |
      | answer without a start         | claimed send ended              | none                    | 1    | answered |
      | still running                  | claimed send started            | none                    | 1    | open     |
      | sent without a claim           | send                            | not_run                 | 0    | open     |
      | sent past its deadline         | claimed send=10                 | not_run                 | 0    | not_run  |
      | sent after it was refused      | claimed fail send               | not_run not_run         | 0    | not_run  |
      | claimed after it was refused   | fail claimed send               | not_run not_run not_run | 0    | not_run  |
      | sent twice                     | claimed send send started ended | unknown                 | 1    | answered |
      | claimed twice                  | claimed claimed send claimed    | unknown                 | 1    | open     |
      | sent again after its failure   | claimed send fail send          | unknown unknown         | 1    | unknown  |
      | first failure stays            | claimed fail said               | not_run not_run         | 0    | not_run  |
      | unknown stays unknown          | claimed send fail said          | unknown unknown         | 1    | unknown  |
      | end after the attempt was lost | claimed send fail ended         | unknown                 | 1    | unknown  |
      | back end was not reached       | claimed send unsent             | not_run                 | 1    | not_run  |
      | not reached, once it started   | claimed send started unsent     | unknown                 | 1    | unknown  |
      | not reached, sent again        | claimed send unsent send        | not_run not_run         | 1    | not_run  |
      | not reached, after it was lost | claimed send fail unsent        | unknown unknown         | 1    | unknown  |
      | started without being sent     | claimed started fail            | not_run                 | 0    | not_run  |
      | ended without being sent       | claimed ended fail              | not_run                 | 0    | not_run  |

  Scenario Outline: An idempotent attempt needs no claim and settles no key: <script>
    When attempt without a claim plays "<script>"
    Then attempt gave "<outcomes>", sent <sent> times, and settles its key as "open"

    Examples:
      | script    | outcomes        | sent |
      | send fail | unknown         | 1    |
      | fail send | not_run not_run | 0    |

  Scenario Outline: A failure carries the step at which it arose: <step>
    Then attempt's failure at step "<step>" is "not_run" of "engine" with 2 s to wait

    Examples:
      | step  |
      | admit |
      | claim |
      | run   |

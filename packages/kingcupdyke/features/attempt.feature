Feature: The outcome of an attempt tells whether it may have run

  # The deadline is at 10 s. In a script, "send" is at 0 s and "send=S" at S seconds; "fail" is a
  # failure detected by the sidecar, "said" one that the back end reported, and "unsent" means
  # that the back end was unreachable, so that no byte was sent.

  Scenario Outline: An attempt is sent at most once, and "not run" means that nothing was sent: <case>
    When attempt runs "<script>"
    Then attempt returned "<outcomes>", was sent <sent> times, and settles its key as "<key>"

    Examples:
      | case                              | script                          | outcomes                | sent | key      |
      | timeout before the claim          | fail                            | not_run                 | 0    | open     |
      | timeout after the claim           | claimed fail                    | not_run                 | 0    | not_run  |
      | timeout after it was sent         | claimed send fail               | unknown                 | 1    | unknown  |
      | timeout after the start           | claimed send started fail       | unknown                 | 1    | unknown  |
      | timeout after the end             | claimed send started ended fail | unknown                 | 1    | answered |
      | back end reports a failure        | claimed send said               | failed                  | 1    | answered |
      | back end fails mid-stream         | claimed send started said       | failed                  | 1    | answered |
      | whole answer                      | claimed send started ended      | none                    | 1    | answered |
      | answer without a start            | claimed send ended              | none                    | 1    | answered |
      | still running                     | claimed send started            | none                    | 1    | open     |
      | sent without a claim              | send                            | not_run                 | 0    | open     |
      | sent past its deadline            | claimed send=10                 | not_run                 | 0    | not_run  |
      | sent after it was refused         | claimed fail send               | not_run not_run         | 0    | not_run  |
      | claimed after it was refused      | fail claimed send               | not_run not_run not_run | 0    | not_run  |
      | sent twice                        | claimed send send started ended | unknown                 | 1    | answered |
      | claimed twice                     | claimed claimed send claimed    | unknown                 | 1    | open     |
      | sent again after its failure      | claimed send fail send          | unknown unknown         | 1    | unknown  |
      | first failure is kept             | claimed fail said               | not_run not_run         | 0    | not_run  |
      | unknown stays unknown             | claimed send fail said          | unknown unknown         | 1    | unknown  |
      | end after the outcome was unknown | claimed send fail ended         | unknown                 | 1    | unknown  |
      | back end unreachable              | claimed send unsent             | not_run                 | 1    | not_run  |
      | unreachable after the start       | claimed send started unsent     | unknown                 | 1    | unknown  |
      | unreachable, then sent again      | claimed send unsent send        | not_run not_run         | 1    | not_run  |
      | unreachable after a failure       | claimed send fail unsent        | unknown unknown         | 1    | unknown  |
      | started without being sent        | claimed started fail            | not_run                 | 0    | not_run  |
      | ended without being sent          | claimed ended fail              | not_run                 | 0    | not_run  |

  Scenario Outline: An idempotent attempt needs no claim and settles no key: <script>
    When attempt without a claim runs "<script>"
    Then attempt returned "<outcomes>", was sent <sent> times, and settles its key as "open"

    Examples:
      | script    | outcomes        | sent |
      | send fail | unknown         | 1    |
      | fail send | not_run not_run | 0    |

  Scenario Outline: A failure names the step at which it arose: <step>
    Then attempt's failure at step "<step>" is "not_run" of "engine", retry after 2 s

    Examples:
      | step  |
      | admit |
      | claim |
      | run   |

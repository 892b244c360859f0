Feature: The store clients update, list and watch objects

  Scenario Outline: A conditional update takes effect once
    Given the <store> store
    When store makes the calls "<calls>"
    Then store has answered "<answers>"

    Examples: writes, each as NAME=VALUE@VERSION, NAME-@VERSION deletes, NAME? reads
      | store  | calls           | answers                     |
      | memory | a=x@0 a?        | a:1=x a:1=x                 |
      | http   | a=x@0 a?        | a:1=x a:1=x                 |
      | memory | a=x@0 a=y@0     | a:1=x conflict:a:1=x        |
      | http   | a=x@0 a=y@0     | a:1=x conflict:a:1=x        |
      | memory | a=x@0 a=y@1 a?  | a:1=x a:2=y a:2=y           |
      | http   | a=x@0 a=y@1 a?  | a:1=x a:2=y a:2=y           |
      | memory | a=x@3           | conflict:none               |
      | http   | a=x@3           | conflict:none               |
      | memory | a=x@0 a-@1 a?   | a:1=x none none             |
      | http   | a=x@0 a-@1 a?   | a:1=x none none             |
      | memory | a=x@0 a-@2 a?   | a:1=x conflict:a:1=x a:1=x  |
      | http   | a=x@0 a-@2 a?   | a:1=x conflict:a:1=x a:1=x  |
      | memory | a/b%c=x@0 a/b%c? | a/b%c:1=x a/b%c:1=x        |
      | http   | a/b%c=x@0 a/b%c? | a/b%c:1=x a/b%c:1=x        |

  Scenario Outline: A list returns the position from which a watch misses no change
    Given the <store> store
    When store lists "a" after "b=1@0 a2=2@0 a1=3@0" and watches from its position during "<calls>"
    Then store has listed "a1:1=3 a2:1=2" and reported "<events>"

    Examples:
      | store  | calls        | events  |
      | memory | b=9@1        | b:2=9   |
      | http   | b=9@1        | b:2=9   |
      | memory | a1-@1        | a1:none |
      | http   | a1-@1        | a1:none |
      | memory |              |         |
      | http   |              |         |

  Scenario Outline: A watch from a position that is no longer retained fails as compacted
    Given the <store> store
    When store watches from the beginning after 1002 writes
    Then store has failed with "failed" and the reason "compacted"

    Examples:
      | store  |
      | memory |
      | http   |

  Scenario Outline: A failed write reports whether it may have taken effect
    Given the <store> store with the fault <fault>
    When store makes the calls "a=x@0"
    Then store has failed with "<outcome>" and the object is <state>

    Examples:
      | store  | fault           | outcome | state   |
      | memory | down            | not_run | absent  |
      | http   | down            | not_run | absent  |
      | memory | lose_answers    | unknown | written |
      | http   | lose_answers    | unknown | written |
      | http   | slow_ms         | unknown | written |
      | http   | rate exceeded   | not_run | absent  |
      | http   | value too large | not_run | absent  |

  Scenario Outline: A watch that the store does not answer fails
    Given the http store with the fault <fault>
    When store watches from the beginning after 0 writes
    Then store has failed with "<outcome>" and the reason "<reason>"

    Examples:
      | fault          | outcome | reason     |
      | down           | not_run | status 503 |
      | silent_watches | unknown | TimeoutError |

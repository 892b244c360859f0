Feature: Retries are safe and bounded, and the final failure covers all attempts

  # The deadline is at second 10. The outcomes are those of the attempts so far, each at another
  # endpoint; "forgotten" is an attempt that the policy has no record of.
  Scenario Outline: A failed attempt is retried only where that is safe and useful
    When a retry policy of <max> attempts, <kind>, gets <outcomes> at <step> at <now> s
    Then the retry decision is <decision>

    Examples: safe and useful
      | max | kind               | outcomes        | step    | now | decision |
      | 3   | idempotent         | not_run         | connect | 1   | retry    |
      | 3   | idempotent         | unknown         | relay   | 1   | retry    |
      | 3   | idempotent         | failed failed   | run     | 1   | retry    |
      | 3   | non-idempotent     | not_run         | admit   | 1   | retry    |
      | 3   | non-idempotent+key | not_run not_run | connect | 1   | retry    |

    Examples: not safe
      | max | kind               | outcomes        | step  | now | decision |
      | 3   | non-idempotent     | unknown         | relay | 1   | unknown  |
      | 3   | non-idempotent+key | unknown         | relay | 1   | unknown  |
      | 3   | non-idempotent+key | failed          | run   | 1   | failed   |
      | 3   | non-idempotent     | not_run unknown | relay | 1   | unknown  |

    Examples: not useful
      | max | kind       | outcomes        | step    | now | decision |
      | 3   | idempotent | not_run         | connect | 9.5 | not_run  |
      | 2   | idempotent | not_run not_run | connect | 1   | not_run  |
      | 3   | idempotent | not_run         | claim   | 1   | not_run  |
      | 3   | idempotent | not_run         | parse   | 1   | not_run  |

    Examples: the final failure covers all attempts
      | max | kind       | outcomes                | step    | now | decision |
      | 3   | idempotent | unknown not_run not_run | connect | 1   | unknown  |
      | 3   | idempotent | not_run failed not_run  | connect | 1   | failed   |
      | 3   | idempotent | unknown failed failed   | run     | 1   | unknown  |
      | 2   | idempotent | forgotten not_run       | connect | 1   | unknown  |

  Scenario Outline: Retries do not amplify an outage
    Then the retry policy grants <firsts> failures <min> to <max> retries, <saved> saved

    Examples:
      | firsts | saved | min | max |
      | 1000   | 10    | 100 | 110 |
      | 1000   | 0     | 0   | 0   |
      | 5      | 10    | 10  | 10  |

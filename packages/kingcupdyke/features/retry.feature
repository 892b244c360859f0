Feature: Retries are safe, bounded, and end in an honest failure

  # The deadline is at second 10; outcomes are of the attempts so far, each at its own endpoint.
  Scenario Outline: A failed attempt is tried again only where that is safe and of use
    When a retry policy of <most> attempts, <kind>, hears <outcomes> at <step> at <now> s
    Then the retry decision is <decision>

    Examples: safe and useful
      | most | kind                | outcomes                | step    | now | decision |
      | 3    | idempotent          | not_run                 | connect | 1   | retry    |
      | 3    | idempotent          | unknown                 | relay   | 1   | retry    |
      | 3    | idempotent          | failed failed           | run     | 1   | retry    |
      | 3    | non-idempotent      | not_run                 | admit   | 1   | retry    |
      | 3    | non-idempotent+key  | not_run not_run         | connect | 1   | retry    |

    Examples: never twice
      | most | kind                | outcomes                | step    | now | decision |
      | 3    | non-idempotent      | unknown                 | relay   | 1   | unknown  |
      | 3    | non-idempotent+key  | unknown                 | relay   | 1   | unknown  |
      | 3    | non-idempotent+key  | failed                  | run     | 1   | failed   |
      | 3    | non-idempotent      | not_run unknown         | relay   | 1   | unknown  |

    Examples: no use
      | most | kind                | outcomes                | step    | now | decision |
      | 3    | idempotent          | not_run                 | connect | 9.5 | not_run  |
      | 2    | idempotent          | not_run not_run         | connect | 1   | not_run  |
      | 3    | idempotent          | not_run                 | claim   | 1   | not_run  |
      | 3    | idempotent          | not_run                 | parse   | 1   | not_run  |

    Examples: the final failure covers all attempts
      | most | kind                | outcomes                | step    | now | decision |
      | 3    | idempotent          | unknown not_run not_run | connect | 1   | unknown  |
      | 3    | idempotent          | not_run failed not_run  | connect | 1   | failed   |
      | 3    | idempotent          | unknown failed failed   | run     | 1   | unknown  |
      | 2    | idempotent          | forgotten not_run       | connect | 1   | unknown  |

  Scenario Outline: Retries do not amplify an outage
    Then the retry policy gives <firsts> failures <some> to <most> retries, <least> saved

    Examples:
      | firsts | least | some | most |
      | 1000   | 10    | 100  | 110  |
      | 1000   | 0     | 0    | 0    |
      | 5      | 10    | 10   | 10   |

Feature: The retries of all gateways together stay within the budget of a service

  Scenario Outline: <gateways> gateways, <requests> requests and <attempts> attempted retries
    When retrybudget: <gateways> gateways get <requests> requests and attempt <attempts> retries over 60 s, with seed <seed>
    Then retrybudget: no window of 10 s has more retries than a fifth of its requests and 58
    And retrybudget: at least <min_count> retries were allowed

    Examples:
      | gateways | requests | attempts | seed | min_count |
      | 1        | 0        | 500      | 1    | 100       |
      | 5        | 2000     | 2000     | 2    | 300       |
      | 5        | 50       | 2000     | 3    | 150       |
      | 40       | 4000     | 4000     | 4    | 200       |

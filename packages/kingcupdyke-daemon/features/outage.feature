Feature: Placement goes on while the store is unreachable, also among many gateways

  Scenario Outline: The planner proves that it holds the lease, by promises of all peers, <case>
    Given outage: 4 gateways in two regions, of <listed> that the store lists
    When outage: the store is unreachable for 6 s
    Then outage: one gateway holds the lease, and its proof is older than 1 s for at most 0.5 s

    Examples:
      | case | listed |
      | among few | 4 |
      | among 68 | 68 |
      | among 300 | 300 |

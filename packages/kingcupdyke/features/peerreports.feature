Feature: What a gateway knows of its peers' requests is the sum of their latest states

  Scenario Outline: After each state, endpoint and loss of a peer the sums are those of the latest states, seed <seed>
    When peerreports: 8 peers report 2000 states in a random order, while peers and endpoints come and go, with seed <seed>
    Then peerreports: the loads, unreachable peers and waiting requests were always the sums

    Examples:
      | seed |
      | 1 |
      | 2 |
      | 3 |

Feature: Routers choose by cost, keep requests in their region, and reject with a retry time

  Scenario Outline: Without a candidate each router rejects with a retry time
    Given a <router> router
    When the router chooses for a request among <endpoints>
    Then the router rejects as not run at step route with a retry time

    Examples:
      | router                                          | endpoints    |
      | cost                                            | none         |
      | random                                          | none         |
      | round_robin                                     | none         |
      | least_load                                      | none         |
      | cost home_region=north region_link_bytes_per_s=0 | e1:south     |

  Scenario Outline: The cost router considers each term of the cost
    Given a cost router home_region=north home_data_centre=a
    When the router chooses for a request among e1:north <worse> and e2:north
    Then the router always chose e2 within its region

    Examples:
      | worse                |
      | running=20           |
      | waiting=3            |
      | dispatched_since=20  |
      | token_interval_s=0.1 |
      | report_age_s=9       |
      | adapter_resident=0   |
      | data_centre=b        |

  Scenario Outline: A request crosses regions only to meet its deadline or without a local endpoint
    Given a <router> router
    When the router chooses for a request with <left> seconds left among <endpoints>
    Then the router always chose <expected>

    Examples:
      | router                            | left | endpoints                    | expected            |
      | cost home_region=north            | 9    | e1:north e2:south            | e1 within its region |
      | cost home_region=north            | 2    | e1:north:busy e2:south       | e2 across regions   |
      | cost home_region=north            | 0.1  | e1:north:busy e2:south       | e1 within its region |
      | cost home_region=north            | 2    | e1:north:busy e3:north e2:south | e3 within its region |
      | cost home_region=north            | 2    | e1:north:busy e4:north:busy e5:north:busy e3:north e2:south | e3 within its region |
      | cost home_region=north            | 9    | e2:south                     | e2 across regions   |
      | cost home_region=north lean=0.0   | 2    | e1:north:busy e2:south       | e1 within its region |
      | cost home_region=north lean=0.0   | 9    | e2:south                     | e2 across regions   |
      | cost home_region=north region_link_bytes_per_s=0 | 2 | e1:north:busy e2:south | e1 within its region |

  Scenario: The link budget limits the bytes across regions, and a refund returns them
    Given a cost router home_region=north region_link_bytes_per_s=10000
    When the router chooses 1000 times in 10 s for 5000 bytes that only e2:south serves
    Then the router crossed with 100000 to 140000 bytes and rejected the others
    And the router crosses once more after a refund

  Scenario Outline: Requests with one prompt prefix stay on few endpoints until these are busy
    Given a cost router <options>
    When the router chooses for 300 requests with one prompt prefix among 40 endpoints, <load>
    Then the router sent <least> to <most> of them to the four endpoints it chose most

    # Each request is also compared with an endpoint outside the subset, which has a higher cost.
    Examples:
      | options       | load                   | least | most |
      |               | all idle               | 300   | 300  |
      |               | the chosen ones busy   | 0     | 60   |
      | affinity=     | all idle               | 20    | 80   |

  Scenario Outline: An invalid option is rejected
    Then the router <name> with <options> is rejected for its option <option>

    Examples:
      | name  | options                    | option                  |
      | fast  | lean=1                     | router                  |
      | cost  | speed=1                    | speed                   |
      | cost  | lean=1.5                   | lean                    |
      | cost  | region_link_bytes_per_s=-1 | region_link_bytes_per_s |
      | cost  | affinity=yes               | affinity                |

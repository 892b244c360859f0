Feature: Routers choose by cost, keep regions apart, and refuse truly

  Scenario Outline: Without a candidate each router refuses with a time to come back
    Given a <router> router
    When the router chooses for a request among <endpoints>
    Then the router refuses as not run at step route with a time to come back

    Examples:
      | router                                          | endpoints    |
      | cost                                            | none         |
      | random                                          | none         |
      | round_robin                                     | none         |
      | least_load                                      | none         |
      | cost home_region=north region_link_bytes_per_s=0 | e1:south     |

  Scenario Outline: The cost router weighs each term
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

  Scenario Outline: The region link is crossed only to keep a deadline or where there is no other way
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

  Scenario: The link budget bounds the bytes of crossings, and a refund gives them back
    Given a cost router home_region=north region_link_bytes_per_s=10000
    When the router chooses 1000 times in 10 s for 5000 bytes that only e2:south serves
    Then the router crossed with 100000 to 140000 bytes and refused the others
    And the router crosses once more after a refund

  Scenario Outline: Requests with one prompt head keep to few endpoints until these are busy
    Given a cost router <options>
    When the router chooses for 300 requests with one prompt head among 40 endpoints, <load>
    Then the router sent <least> to <most> of them to the four endpoints it chose most

    # The other requests probe endpoints outside the subset and find them dearer.
    Examples:
      | options       | load                   | least | most |
      |               | all idle               | 300   | 300  |
      |               | the favourites busy    | 0     | 60   |
      | affinity=     | all idle               | 20    | 80   |

  Scenario Outline: A wrong option is refused
    Then the router <name> with <options> is refused for its option <option>

    Examples:
      | name  | options                    | option                  |
      | fast  | lean=1                     | router                  |
      | cost  | speed=1                    | speed                   |
      | cost  | lean=1.5                   | lean                    |
      | cost  | region_link_bytes_per_s=-1 | region_link_bytes_per_s |
      | cost  | affinity=yes               | affinity                |

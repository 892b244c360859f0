Feature: A gateway's endpoint table follows the list, peers and its own requests

  Scenario Outline: <case>
    When endpointtable: "<events>" happens
    Then endpointtable: the endpoints that accept requests are "<ready>"

    Examples:
      | case | events | ready |
      | listed endpoints accept requests | list e1,e2 | e1 e2 |
      | a draining endpoint accepts none | list e1,e2; drain e1 | e2 |
      | a removed endpoint accepts none | list e1,e2; remove e1 | e2 |
      | an endpoint that is missing in a new list accepts none | list e1,e2; list e2 | e2 |
      | after an outage of the store, a missing endpoint is kept at first | list e1,e2; outage; list e2; wait 1.9 | e1 e2 |
      | and is removed after the retention time | list e1,e2; outage; list e2; wait 2.1 | e2 |
      | unless it is listed again | list e1,e2; outage; list e2; wait 1; put e1; wait 3 | e1 e2 |
      | a removal after an outage is delayed as well | list e1,e2; outage; remove e1; wait 1.9 | e1 e2 |
      | and is done after the retention time | list e1,e2; outage; remove e1; wait 2.1 | e2 |
      | an older entry shows that an endpoint is listed | beat e1 5 m1; outage; list e2; wait 1; beat e1 3 m1; wait 3 | e1 e2 |
      | an entry of an earlier start is ignored | list e1; drain e1; outdated e1 | |

  Scenario Outline: A replica: <case>
    Given endpointtable: e1 holds "<held>"
    When endpointtable: "<events>" happens
    Then endpointtable: e1 <has> "<replica>"

    Examples:
      | case | held | events | has | replica |
      | a model that the entry names | m1 | | has | m1 |
      | not a model that the entry lacks | m1 | | lacks | m2 |
      | an adapter that the entry names | m1+a1 | | has | m1+a1 |
      | not an adapter that the entry lacks | m1+a1 | | lacks | m1+a2 |
      | not a model that an older entry brings back | m1 | beat e1 5 m2; beat e1 3 m1 | lacks | m1 |
      | a model of a later start with a lower heartbeat | m1 | beat e1 5 m2; restart e1 1 m3 | has | m3 |
      | an adapter that the planner ordered, from its expected time on | m1 | place m1+a1 0.5; wait 0.6 | has | m1+a1 |
      | not before its expected time | m1 | place m1+a1 0.5; wait 0.4 | lacks | m1+a1 |
      | a model that the planner ordered, only once the entry names it | m1 | place m2 0.5; wait 0.6 | lacks | m2 |
      | not a model that the planner unloads | m1 | unplace m1 | lacks | m1 |
      | the planner's placement expires | m1 | unplace m1; wait 3.1 | has | m1 |
      | a placement with a lower fencing number is ignored | m1 | fence 5; place m1 0; fence 4; unplace m1 | has | m1 |
      | not a model that the endpoint denied | m1 | deny m1 | lacks | m1 |

  Scenario Outline: The only software version: <case>
    When endpointtable: "<events>" happens
    Then endpointtable: the only software version of the last 4 s is "<version>"

    Examples:
      | case | events | version |
      | all endpoints run it | list e1,e2; version e1 v1; version e2 v1; wait 0.1; wait 5 | v1 |
      | unknown, as two are listed | list e1,e2; version e1 v1; version e2 v2; wait 5 | unknown |
      | that of entries which do not name one | list e1; wait 5 | unnamed |
      | unknown, as the list has been known for too short | list e1; wait 3 | unknown |
      | unknown, as an endpoint of another one was removed | list e1,e2; version e1 v1; version e2 v2; wait 5; remove e2; wait 3 | unknown |
      | unknown, as an endpoint has started again with another one | list e1; version e1 v1; wait 5; version e1 v2; wait 3 | unknown |
      | after a long time without another one | list e1,e2; version e1 v1; version e2 v2; remove e2; wait 0.1; wait 5 | v1 |

  Scenario Outline: An endpoint that <case> has a backoff of <backoff> s
    When endpointtable: e1 fails "<failures>" times consecutively
    Then endpointtable: the backoff of e1 is <backoff> s

    Examples:
      | case | failures | backoff |
      | failed once | 1 | 0.4 |
      | failed twice | 2 | 0.8 |
      | keeps failing | 9 | 3.0 |

  Scenario: Cached prefixes of prompts are counted only for the same model and the same first parts
    Then endpointtable: after a prompt of "x:10 y:20" for m1 the cached tokens are
      | model | parts     | cached |
      | m1    | x:10 y:20 | 30     |
      | m1    | x:10 z:5  | 10     |
      | m1    | y:20 x:10 | 0      |
      | m2    | x:10 y:20 | 0      |

  # Guards against memory and time that grow with the square of the number of parts.
  Scenario: A prompt of many parts leaves little at each endpoint
    Then endpointtable: prompts of 4000 parts leave less than 500000 bytes at an endpoint

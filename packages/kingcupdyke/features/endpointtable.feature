Feature: A gateway's board of endpoints follows the list, peers and its own requests

  Scenario Outline: <case>
    When board: "<events>" happens
    Then board: the endpoints that take work are "<ready>"

    Examples:
      | case | events | ready |
      | listed ones take work | list e1,e2 | e1 e2 |
      | a leaving one takes none | list e1,e2; leave e1 | e2 |
      | a removed one takes none | list e1,e2; remove e1 | e2 |
      | one that is missing in a new list takes none | list e1,e2; list e2 | e2 |
      | after an outage a missing one is kept for a moment | list e1,e2; outage; list e2; wait 1.9 | e1 e2 |
      | and given up then | list e1,e2; outage; list e2; wait 2.1 | e2 |
      | unless it is listed again | list e1,e2; outage; list e2; wait 1; put e1; wait 3 | e1 e2 |
      | a removal seen after an outage waits as well | list e1,e2; outage; remove e1; wait 1.9 | e1 e2 |
      | it does not wait for long | list e1,e2; outage; remove e1; wait 2.1 | e2 |
      | an entry of an earlier start is ignored | list e1; leave e1; old e1 | |

  Scenario Outline: A replica: <case>
    Given board: e1 holds "<held>"
    When board: "<events>" happens
    Then board: e1 <has> "<replica>"

    Examples:
      | case | held | events | has | replica |
      | a model that the entry names | m1 | | has | m1 |
      | no other model | m1 | | lacks | m2 |
      | an adapter that the entry names | m1+a1 | | has | m1+a1 |
      | no other adapter | m1+a1 | | lacks | m1+a2 |
      | an adapter that the planner ordered, from its time on | m1 | place m1+a1 0.5; wait 0.6 | has | m1+a1 |
      | not before | m1 | place m1+a1 0.5; wait 0.4 | lacks | m1+a1 |
      | a model that the planner ordered, only once the entry names it | m1 | place m2 0.5; wait 0.6 | lacks | m2 |
      | not one that the planner removes | m1 | drop m1 | lacks | m1 |
      | the planner's word fades | m1 | drop m1; wait 3.1 | has | m1 |
      | an older planner's word is ignored | m1 | fence 5; place m1 0; fence 4; drop m1 | has | m1 |
      | one that the endpoint denied | m1 | deny m1 | lacks | m1 |

  Scenario Outline: An endpoint that <case> is left alone for <pause> s
    When board: e1 fails "<failures>" times in a row
    Then board: e1 is left alone for <pause> s

    Examples:
      | case | failures | pause |
      | failed once | 1 | 0.4 |
      | failed twice | 2 | 0.8 |
      | keeps failing | 9 | 3.0 |

  Scenario: Kept heads of prompts are counted for the same model and the same beginning only
    Then board: after a prompt of "x:10 y:20" for m1 the kept tokens are
      | model | parts     | kept |
      | m1    | x:10 y:20 | 30   |
      | m1    | x:10 z:5  | 10   |
      | m1    | y:20 x:10 | 0    |
      | m2    | x:10 y:20 | 0    |

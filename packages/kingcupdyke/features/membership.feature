Feature: A leaving host gets no new work, whoever says so

  Scenario Outline: A host takes new work only while every source allows it
    Given a membership table that lists "e1" as live
    When membership hears, a second apart: <events>
    Then membership routes to "e1": <routed>

    Examples: the list lags, and is no more than a proposal
      | events                                          | routed |
      | list live                                       | yes    |
      | list leaving                                    | no     |
      | news a 1 leaving, list live, list live, list live | no   |
      | list leaving, news b 1 back, answer b           | no     |
      | missing                                         | yes    |
      | missing, missing, list live, missing, missing   | yes    |
      | missing, missing, missing                       | no     |
      | missing, answer a, missing, answer a, missing   | yes    |
      | empty, empty, empty, empty                      | yes    |
      | news z 1 leaving, missing, missing, missing, list live | no |

    Examples: leave, return, leave
      | events                                               | routed |
      | news a 1 leaving, news a 2 back                      | yes    |
      | news a 1 leaving, news a 2 back, news a 3 leaving    | no     |
      | news a 1 leaving, news b 1 back, news b 2 leaving    | no     |
      | news a 1 leaving, news a 2 back, news a 1 leaving    | yes    |
      | news a 3 leaving, news a 2 back                      | no     |
      | news a 2 leaving, news a 2 back                      | no     |
      | news b 1 back, news a 9 leaving                      | yes    |
      | news b 1 leaving, news a 9 back                      | no     |

    Examples: own traffic
      | events                                               | routed |
      | news a 1 leaving, answer a                           | no     |
      | news a 1 leaving, answer b                           | yes    |
      | news b 1 leaving, answer a                           | no     |
      | news b 1 leaving, answer a, later, answer a          | yes    |
      | news b 1 leaving, answer a, later, answer 0          | no     |
      | news b 1 leaving, answer a, answer b leaving, later, answer a | no |
      | answer a leaving                                     | no     |
      | answer b, answer a leaving                           | yes    |
      | answer a leaving, answer a                           | yes    |
      | answer a leaving, news b 1 back                      | yes    |
      | answer a, silence                                    | yes    |
      | answer a, silence, silence, silence                  | no     |
      | silence, silence, silence, silence, list live        | no     |
      | answer a, silence, silence, silence, answer a        | yes    |
      | answer a, silence, silence, silence, news b 1 back   | yes    |

  Scenario Outline: A gateway that is cut off from the host learns it from a peer
    Given a membership table that lists "e1" as live
    And a membership table of a peer that is cut off from "e1"
    When membership hears, a second apart: <events>
    And membership passes its news on to the peer, twice and the oldest last
    Then the membership table of the peer routes to "e1": <routed>

    Examples:
      | events                                            | routed |
      | news a 1 leaving                                  | no     |
      | news a 1 leaving, news a 2 back                   | yes    |
      | news a 1 leaving, news a 2 back, news a 3 leaving | no     |
      | news a 1 leaving, answer b                        | yes    |

  Scenario Outline: News is passed on while it is of use
    Given a membership table that lists "e1" as live
    When membership hears, a second apart: <events>
    And membership waits <seconds> seconds
    Then membership passes on <count> pieces of news

    Examples:
      | events                         | seconds | count |
      | answer a                       | 0       | 0     |
      | news a 1 leaving               | 0       | 1     |
      | news a 1 leaving, answer b     | 0       | 1     |
      | news a 1 leaving               | 700     | 0     |

  Scenario: A mass restart is passed on in parts, none of which is left out
    Given a membership table that lists "e1" as live
    Then membership passes on the news of 200 hosts within 4 calls of at most 64 pieces

  Scenario: Kinds of host are told apart
    Given a membership table that lists "e1" as live
    When membership hears, a second apart: gateway
    Then membership routes kind "sidecar" to "e1" and kind "gateway" to "g1"

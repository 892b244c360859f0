Feature: A host that is leaving according to any source receives no new requests

  # Events about host "e1": "news I N leaving|back" is its notice number N of incarnation I, "answer
  # I" an answer of incarnation I, "silence" a request without an answer. "list S" is a host list
  # that names it in state S, "missing" one without it, "empty" an empty one. "later" lets the time
  # pass after which answers of an older incarnation are accepted.

  Scenario Outline: A host receives new requests only while every source allows it
    Given a membership table that lists "e1" as live
    When membership processes, a second apart: <events>
    Then membership routes to "e1": <routed>

    Examples: host lists that may be out of date
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

    Examples: answers to requests
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

  Scenario Outline: A gateway that is partitioned from the host receives its notices from a peer
    Given a membership table that lists "e1" as live
    And a membership table of a peer that is partitioned from "e1"
    When membership processes, a second apart: <events>
    And membership forwards its notices to the peer, twice and the oldest last
    Then the membership table of the peer routes to "e1": <routed>

    Examples:
      | events                                            | routed |
      | news a 1 leaving                                  | no     |
      | news a 1 leaving, news a 2 back                   | yes    |
      | news a 1 leaving, news a 2 back, news a 3 leaving | no     |
      | news a 1 leaving, answer b                        | yes    |

  Scenario Outline: Notices are forwarded until they expire
    Given a membership table that lists "e1" as live
    When membership processes, a second apart: <events>
    And membership waits <seconds> seconds
    Then membership forwards <count> notices

    Examples:
      | events                         | seconds | count |
      | answer a                       | 0       | 0     |
      | news a 1 leaving               | 0       | 1     |
      | news a 1 leaving, answer b     | 0       | 1     |
      | news a 1 leaving               | 700     | 0     |

  Scenario: The notices of a mass restart are forwarded in several messages, and none is left out
    Given a membership table that lists "e1" as live
    Then membership forwards the notices of 200 hosts within 4 calls of at most 64 notices

  Scenario: Hosts are routed by kind
    Given a membership table that lists "e1" as live
    When membership processes, a second apart: gateway
    Then membership routes kind "sidecar" to "e1" and kind "gateway" to "g1"

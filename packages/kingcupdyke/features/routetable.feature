Feature: A request finds its route by host and longest prefix

  Scenario Outline: <host> <path>
    Given routetable: routes "a.example /x/ one", "a.example /x/y/ two", "b.example /x/ three"
    Then routetable: a request for "<host>" and "<path>" takes "<route>"

    Examples:
      | host      | path      | route |
      | a.example | /x/1      | one   |
      | a.example | /x/y/1    | two   |
      | a.example | /x/y      | one   |
      | A.Example | /x/1      | one   |
      | b.example | /x/y/1    | three |
      | a.example | /z/1      | none  |
      | a.example | /x        | none  |
      | c.example | /x/1      | none  |
      | a.example | /%78/1    | none  |

  Scenario: A traffic split assigns each attempt one service, and each service its share
    Then routetable: of 4000 attempts a split of 90 to 10 sends 340 to 460 to the second service
    And routetable: an attempt takes the same service each time

  Scenario Outline: A client abandons a stream of objective <objective> s and gap target <gap> s after <timeout> s without a first event
    Then routetable: its timeout for the first event is <timeout> s

    Examples:
      | objective | gap | timeout |
      | 0.8       | 0.2 | 3.2     |
      | 0.1       | 0.2 | 2.0     |
      | 0.1       | 0.5 | 4.0     |

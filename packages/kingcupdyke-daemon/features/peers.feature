Feature: Many gateways know soon what they must know of each other

  Scenario: A state that all must know reaches a remote peer immediately, among 68 gateways
    When peers: one of 68 gateways sends its state soon
    Then peers: a peer in another region receives it within 0.2 s

  Scenario: A remote peer is not taken for gone between two messages, among 68 gateways
    When peers: one of 68 gateways runs for 4 s after it was first heard
    Then peers: a peer in another region never takes it for gone

  Scenario: The planner tells its peers of a placement as soon as the engine has accepted the order
    When peers: an engine accepts the planner's order
    Then peers: the placement is sent to peers once

  Scenario: A relay that is too large for a datagram is logged once
    When peers: the store's objects are too many for a datagram while a peer can't read them, for 1 s
    Then peers: the log says once that they are not sent

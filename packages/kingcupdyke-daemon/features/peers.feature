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

  Scenario Outline: A datagram that can't be read or applied does not end the exchange: <case>
    When peers: a gateway gets the datagram "<datagram>", and then a message of its peer
    Then peers: it has received that message

    Examples:
      | case | datagram |
      | no deflated data | plain |
      | a value that is very deeply nested | nested |
      | a number of 5,000 digits | digits |
      | a state whose host is a list | [[],"i",1,false,1,[],[],[],0,null,[]] |
      | a state whose counts are text | ["x","i",1,false,1,[["e1","two","three"]],[],[],0,null,[]] |
      | a state whose interval is not finite | ["x","i",1,false,1,[],[],[],0,null,[],[],1e999] |

  Scenario Outline: An entry of a gateway that can't be read is left out: <case>
    When peers: the list of gateways has the entry "<entry>", and a message is sent to all
    Then peers: the other gateway has received it

    Examples:
      | case | entry |
      | a value that is very deeply nested | nested |
      | nothing | nothing |
      | a port that is too large | {"address":"127.0.0.1","port":70000,"data_centre":"s1"} |
      | a port of 20 digits | {"address":"127.0.0.1","port":12345678901234567890,"data_centre":"s1"} |
      | a negative port | {"address":"127.0.0.1","port":-1,"data_centre":"s1"} |
      | an address that is none | {"address":"a b\ud800","port":80,"data_centre":"s1"} |

  Scenario: A relay that is too large for a datagram is logged once
    When peers: the store's objects are too many for a datagram while a peer can't read them, for 1 s
    Then peers: the log says once that they are not sent

  # Guards against a gateway that stays unknown to its peers once the store has lost its entry.
  Scenario Outline: A gateway whose entry is lost registers again: <case>
    When peers: the store loses a gateway's entry, which it sees in <case>
    Then peers: the entry is there again within 0.2 s

    Examples:
      | case |
      | the list |
      | a change |

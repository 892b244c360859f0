Feature: The ends of events are found in a stream that arrives in any pieces

  Scenario Outline: Random streams in random pieces: <case>
    Then events: in 500 random streams the events, ids and incomplete bytes are found, <case>

    Examples:
      | case |
      | holding incomplete events back |
      | passing all pieces on |

  # Guards against an event without end that costs time with the square of its length.
  Scenario: A piece costs time in proportion to its own length
    Then events: an event of 60000 bytes in pieces of 100 bytes is searched in less than 70000 bytes

  Scenario Outline: An event that is too long is found: <case>
    Then events: with a limit of 1000 bytes, <case> <outcome>

    Examples:
      | case | outcome |
      | an event of 1000 bytes in one piece | passes |
      | an event of 1001 bytes in one piece | is too long |
      | an event of 1001 bytes in pieces of 10 | is too long |
      | 1001 bytes without an end in pieces of 7 | is too long |
      | two events of 600 bytes in one piece | passes |

  Scenario: Without events to hold back, a long stream holds nothing
    Then events: a stream whose pieces are passed on holds 0 bytes

Feature: Intents say which orders may still reach an engine

  Scenario Outline: An order that waited too long after its intent stays unsent, <case>
    Then intent: at <now> s the order <may> be sent

    Examples:
      | case | now | may |
      | at once | 100 | may |
      | in time | 109.9 | may |
      | paused past its lifetime | 110 | may not |
      | clock went back | 99 | may not |

  Scenario: Intents are read back as they were written
    Then intent: it is the same when read back

  Scenario Outline: A value that holds no intents is refused
    Then intent: reading "<value>" is refused

    Examples:
      | value |
      | no JSON |
      | {"a": 1} |
      | [{"order_id": "o"}] |

  Scenario: More intents than an object of the store holds are refused
    Then intent: writing it 10000 times is refused

Feature: Intents record which orders may still reach an engine

  Scenario Outline: An order is not sent after the lifetime of its intent, <case>
    Then intent: at <now> s the order <may> be sent

    Examples:
      | case | now | may |
      | immediately | 100 | may |
      | within its lifetime | 109.9 | may |
      | paused past its lifetime | 110 | may not |
      | clock set back | 99 | may not |

  Scenario: Intents are decoded as they were encoded
    Then intent: it is the same after decoding

  Scenario Outline: A value that is not a list of intents is rejected
    Then intent: decoding "<value>" is rejected

    Examples:
      | value |
      | no JSON |
      | {"a": 1} |
      | [{"order_id": "o"}] |

  Scenario: Intents larger than the store's limit are rejected
    Then intent: encoding it 10000 times is rejected

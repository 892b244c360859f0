Feature: Stalled streams are detected without a timeout for each message

  Scenario Outline: A stream is cancelled when its wait exceeds the limit
    Given a stream watch with a limit of 1.6 seconds
    When the watch sees, in order: <events>
    Then the watch has cancelled: <cancelled>

    Examples:
      | events                                        | cancelled |
      | begin a 0, look 1.5                           | none     |
      | begin a 0, look 1.6                           | a        |
      | begin a 0, look 1.6, look 9                   | a        |
      | begin a 0, end a, look 9                      | none     |
      | begin a 0, end a, begin a 1, look 2.5         | none     |
      | begin a 0, begin a 1, look 2.5                | none     |
      | begin a 0, begin b 1, look 1.7                | a        |
      | begin a 0, begin b 0, look 2                  | a, b     |
      | begin a 0, begin b 0, end a, end a, look 2    | b        |
      | begin a 0, look 1.6, begin a 2, look 3.6      | a, a     |

  Scenario Outline: An attempt sends keep-alives to its gateway while it produces no output
    Given an attempt without output and with <attached> gateways attached
    When the attempt sees, in order: <events>
    Then the attempt has sent <count> keep-alives

    Examples:
      | attached | events                          | count |
      | 1        | look                            | 0     |
      | 1        | look, look                      | 1     |
      | 1        | look, look, look, look          | 2     |
      | 1        | look, part, look, part, look    | 0     |
      | 1        | part, look, look                | 1     |
      | 0        | look, look, look                | 0     |

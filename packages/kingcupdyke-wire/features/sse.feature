Feature: A byte stream is split into server-sent events

  Scenario Outline: Events are complete wherever the parts of the stream end
    Then sse reads the events <events> from the parts <parts>

    Examples:
      | parts                              | events                      |
      | ["data: 1\n\n"]                    | ["data: 1\n\n"]             |
      | ["data: 1\n\ndata: 2\n\n"]         | ["data: 1\n\n", "data: 2\n\n"] |
      | ["da", "ta: 1\n", "\ndata: 2\n\n"] | ["data: 1\n\n", "data: 2\n\n"] |
      | ["data: 1\r", "\n\r", "\n"]        | ["data: 1\n\n"]             |
      | ["data: 1\n\ndata: 2"]             | ["data: 1\n\n"]             |
      | []                                 | []                          |

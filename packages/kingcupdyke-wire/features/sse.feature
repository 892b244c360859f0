Feature: A stream of bytes is cut into whole events

  Scenario Outline: Events come whole however the stream is cut
    When sse reads the parts <parts>
    Then sse gives the events <events>

    Examples:
      | parts                              | events                      |
      | ["data: 1\n\n"]                    | ["data: 1\n\n"]             |
      | ["data: 1\n\ndata: 2\n\n"]         | ["data: 1\n\n", "data: 2\n\n"] |
      | ["da", "ta: 1\n", "\ndata: 2\n\n"] | ["data: 1\n\n", "data: 2\n\n"] |
      | ["data: 1\r", "\n\r", "\n"]        | ["data: 1\n\n"]             |
      | ["data: 1\n\ndata: 2"]             | ["data: 1\n\n"]             |
      | []                                 | []                          |

Feature: Bytes without end from a server use bounded memory and time

  Scenario Outline: Bytes without end in <case>
    When endless: a server sends "<start>" and then bytes without end to <client>
    Then endless: the exchange fails as unknown within 4 s
    And endless: at most 100 MB have been used
    And endless: the server's connection is closed

    Examples:
      | case | start | client |
      | a head | HTTP/1.1 200 X\r\nx-a: | a request |
      | a body | HTTP/1.1 200 X\r\n\r\n | a request |
      | a body with chunks | HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n | a request |
      | an event | HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\r\ndata: | a streaming run of an engine |

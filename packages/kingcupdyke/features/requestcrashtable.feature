Feature: A request that crashes endpoints one after the other is rejected

  Scenario Outline: <case>
    When requestcrashtable: "<events>" happens
    Then requestcrashtable: the request is <state>

    Examples:
      | case | events | state |
      | two crashes are no reason | crash e1 0 1; crash e2 1 2 | sent |
      | three crashes, one after the other | crash e1 0 1; crash e2 1 2; crash e3 2 3 | rejected |
      | also within half a second | crash e1 0 0.1; crash e2 0.1 0.2; crash e3 0.2 0.3 | rejected |
      | also of one endpoint that starts again | crash e1 0 1; crash e1/2 1 2; crash e1/3 2 3 | rejected |
      | in whatever order the crashes become known | crash e3 2 3; crash e1 0 1; crash e2 1 2 | rejected |
      | a crash that becomes known twice counts once | crash e1 0 1; crash e1 0 1; crash e2 1 2 | sent |
      | endpoints that end together under copies count as one | crash e1 0 1; crash e2 0 1.1; crash e3 0.5 1.2; crash e4 0 1.3 | sent |
      | also with one copy that was sent again | crash e1 0 1; crash e2 0 1.1; crash e3 1.05 1.2 | sent |
      | an answer between them clears it | crash e1 0 1; crash e2 1 2; sound 2.5; crash e3 2 3 | sent |
      | so does one after them | crash e1 0 1; crash e2 1 2; crash e3 2 3; sound 4 | sent |
      | one before them does not | sound 0.5; crash e1 0 1; crash e2 1 2; crash e3 2 3 | rejected |
      | three crashes after an answer | crash e1 0 1; sound 2; crash e2 2 3; crash e3 3 4; crash e4 4 5 | rejected |
      | it is rejected for ten minutes after the third latest crash | crash e1 0 1; crash e2 1 2; crash e3 2 3; wait 597 | rejected |
      | and then sent | crash e1 0 1; crash e2 1 2; crash e3 2 3; wait 598.1 | sent |
      | other requests are sent | other e1 0 1; other e2 1 2; other e3 2 3 | sent |

  Scenario: The table forgets the oldest requests, but not one that is rejected
    When requestcrashtable: "crash e1 0 1; crash e2 1 2; crash e3 2 3" happens
    And requestcrashtable: 2000 other requests are at one crash each
    Then requestcrashtable: the request is rejected
    And requestcrashtable: 512 requests are known

  Scenario: Recording an answer takes a time that does not grow with the table
    Then requestcrashtable: 10000 answers with 512 requests known take less than twice the time with 8, and 0.01 ms each

  Scenario: A message with all crashes is the same after decoding
    When requestcrashtable: "crash e1 0 1; crash e2 1 2; sound 3" happens
    Then requestcrashtable: its message is the same after decoding
    And requestcrashtable: a message without such fields is decoded too

Feature: Messages to peers are sent without waiting, and received together

  Scenario: Messages that have arrived are received at once
    When datagramsocket: 20 messages are sent, then received
    Then datagramsocket: all came in one call, in order

  Scenario: Sending does not let other tasks run
    When datagramsocket: 50 messages are sent while another task counts its steps
    Then datagramsocket: that task has made no step

  Scenario: A message that can't be sent is lost and logged, and the next one is sent
    When datagramsocket: a message that is too long is sent, then a short one
    Then datagramsocket: only the short one is received, and the log names the other one's address

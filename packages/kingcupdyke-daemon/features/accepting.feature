Feature: Connections that come together are accepted together

  # Guards against an accept that takes several passes of the event loop for each connection.
  Scenario: Sixty clients connect at the same moment
    When accepting: 60 clients connect and send a request before the gateway runs
    Then accepting: all are answered within 40 passes of its event loop

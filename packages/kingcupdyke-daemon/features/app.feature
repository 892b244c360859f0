Feature: A caller gets a typed final answer even after an unexpected error in the gateway

  Scenario Outline: An unexpected error in the gateway <when> the answer started
    When app: a call raises an unexpected error <when> the answer started
    Then app: the caller gets an error with the outcome unknown and the step run
    And app: the error is logged with its cause

    Examples:
      | when   |
      | before |
      | after  |

  Scenario Outline: Each request is logged once at its end: <case>
    When app: <case>
    Then app: the log has "<event>" with "<fields>"

    Examples:
      | case                                                        | event           | fields                                                                         |
      | a call raises an unexpected error before the answer started | request ended   | request=own-id target=bookings caller=desk status=504 outcome=unknown step=run |
      | a call is answered                                          | request ended   | request=own-id target=bookings endpoint=model-n1 status=200 outcome=delivered  |
      | a caller with an unknown token sends a request              | request refused | request=own-id status=401 step=authenticate                                    |

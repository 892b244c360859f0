Feature: A caller gets a typed final answer whatever happens within the gateway

  Scenario Outline: An error that nobody expected, <when> the answer began
    When app: a call raises an error that nobody expected <when> the answer began
    Then app: the caller gets an error with the outcome unknown and the step run
    And app: the error is logged with its cause

    Examples:
      | when   |
      | before |
      | after  |

  Scenario Outline: Each request has its line at the end: <case>
    When app: <case>
    Then app: the log has "<event>" with "<fields>"

    Examples:
      | case                                                           | event           | fields                                              |
      | a call raises an error that nobody expected before the answer began | request ended   | request=own-id target=bookings caller=desk status=504 outcome=unknown step=run |
      | a call is answered                                             | request ended   | request=own-id target=bookings endpoint=model-n1 status=200 outcome=delivered |
      | a caller without a token asks                                  | request refused | request=own-id status=401 step=authenticate         |

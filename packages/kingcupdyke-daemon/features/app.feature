Feature: A caller gets a typed final answer whatever happens within the gateway

  Scenario Outline: An error that nobody expected, <when> the answer began
    When app: a call raises an error that nobody expected <when> the answer began
    Then app: the caller gets an error with the outcome unknown and the step run
    And app: the error is logged with its cause

    Examples:
      | when   |
      | before |
      | after  |

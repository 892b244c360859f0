Feature: Decisions on waiting requests cost no lookups for each request

  # Guards against costs of waiting requests that multiply with the number of endpoints.
  Scenario: Many requests wait for a few models at many endpoints
    Given waitingcosts: 60 engines, all full, and 120 requests that wait for 4 models
    When waitingcosts: the dispatcher is polled
    Then waitingcosts: it has looked up 4 times at most which endpoint holds a model

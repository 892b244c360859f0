@site
Feature: Killing one process under load affects only the requests that depend on it

  # Stand-ins cannot be restarted: one that a row has killed stays stopped in the rows after it.
  Scenario Outline: A process is killed in the middle of open-loop load
    When <process> is killed under load
    Then each answer is complete or an error with its outcome and step, except at <process>
    And all answers of <unharmed> are complete, except at <process>
    And no booking under load ran twice
    And <process> is <afterwards>
    And no stand-in recorded a violation

    Examples:
      | process            | unharmed                             | afterwards    |
      | gateway entry-n2   | chat-7b, plan-13b, south-3b, booking | started again |
      | sidecar model-n2   | plan-13b, south-3b, booking          | started again |
      | sidecar app-n1     | chat-7b, plan-13b, south-3b          | started again |
      | service bookings   | chat-7b, plan-13b, south-3b          | not restarted |
      | engine model-n2    | plan-13b, south-3b                   | not restarted |
      | the weight store   | chat-7b, plan-13b, south-3b, booking | not restarted |
      | host list north    | chat-7b, plan-13b, south-3b, booking | not restarted |
      | link north-south   | chat-7b, plan-13b, south-3b, booking | not restarted |
      | the store          | chat-7b, plan-13b, south-3b          | not restarted |

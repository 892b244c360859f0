@site
Feature: Any one process is killed under load, and what does not depend on it goes on

  # Stand-ins can't be started again, so that each row begins with those before it gone.
  Scenario Outline: A process is killed in the middle of open-loop load
    When <process> is killed under load
    Then each answer is whole or an error with its outcome and step, but at <process>
    And all answers of <unharmed> are whole, but at <process>
    And no booking under load ran twice
    And <process> is <afterwards>
    And no stand-in saw a violation

    Examples:
      | process            | unharmed                             | afterwards    |
      | gateway entry-n2   | chat-7b, plan-13b, south-3b, booking | started again |
      | sidecar model-n2   | plan-13b, south-3b, booking          | started again |
      | sidecar app-n1     | chat-7b, plan-13b, south-3b          | started again |
      | service bookings   | chat-7b, plan-13b, south-3b          | left dead     |
      | engine model-n2    | plan-13b, south-3b                   | left dead     |
      | the weight store   | chat-7b, plan-13b, south-3b, booking | left dead     |
      | host list north    | chat-7b, plan-13b, south-3b, booking | left dead     |
      | link north-south   | chat-7b, plan-13b, south-3b, booking | left dead     |
      | the store          | chat-7b, plan-13b, south-3b          | left dead     |

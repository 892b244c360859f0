Feature: A gateway that is short of processor time keeps its routes' timeouts

  # Guards against a process whose logs and metrics leave out the time before it reads.
  Scenario: The metrics tell how late requests were read
    Given shortprocessor: a gateway whose routes have a timeout of 0.5 s
    When shortprocessor: 10 new clients and 10 with open connections send requests that no endpoint answers, and the process stands still for 0.9 s
    Then shortprocessor: its metrics count 20 requests as read more than 0.4 s after their arrival

Feature: A gateway that is short of processor time keeps its routes' timeouts

  # Guards against a process whose logs and metrics leave out the time before it reads.
  Scenario: The metrics tell how late requests were read
    Given shortprocessor: a gateway whose routes have a timeout of 0.5 s
    When shortprocessor: 10 new clients and 10 with open connections send requests that no endpoint answers, and the process stands still for 0.7 s
    Then shortprocessor: its metrics count 20 requests as read more than 0.4 s after their arrival

  # Guards against timeouts that begin when a request is read, however late that is.
  Scenario: Requests that wait while the process stands still
    Given shortprocessor: a gateway whose routes have a timeout of 0.5 s
    When shortprocessor: 10 new clients and 10 with open connections send requests that no endpoint answers, and the process stands still for 0.7 s
    Then shortprocessor: each is answered within 1.0 s

  # Guards against work that is taken on until all of it ends late.
  Scenario: More requests than a fifth of a core can serve
    Given shortprocessor: a gateway whose routes have a timeout of 1.1 s
    When shortprocessor: it runs for 20 ms of each 100 ms, and 80 requests a second come for 5 s
    Then shortprocessor: of the requests that outlast their timeout, less than a quarter end more than 0.5 s after it
    And shortprocessor: those that get no success within their timeout are rejected as not run, or have reached an endpoint

  # Guards against rejections that use up the time in which requests could be served.
  Scenario: A gateway that rejects requests goes on serving others
    Given shortprocessor: a gateway whose routes have a timeout of 1.1 s
    When shortprocessor: it runs for 20 ms of each 100 ms, and 80 requests a second come for 5 s
    Then shortprocessor: a tenth of the requests at least are served

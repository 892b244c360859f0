Feature: Stand-ins run as processes that tests start and stop

  Scenario Outline: Each stand-in says where it listens and obeys a stop
    Given process has started "<arguments>"
    When process sets the fault <fault> of it
    Then process finds the fault set, no violations and the exit status 0

    Examples:
      | arguments                                        | fault              |
      | store --writes-per-s 10                          | {"down": true}     |
      | hosts --lag 0.5                                  | {"lag_s": 2.5}     |
      | weights --per-s 2 --full-speed 5 --bytes-per-s 1GB | {"down": true}   |
      | engine --no-checks-fence --models m=1GB,n=2GB    | {"truncate": 1}    |
      | service --work-ms 0                              | {"slow_ms": 1.5}   |

  Scenario: A frozen process answers once it is thawed
    Given process has started "service --work-ms 0"
    When process freezes it during a call
    Then process has the answer only after the thaw

  Scenario: A killed process is gone
    Given process has started "service"
    When process kills it
    Then process finds it ended

  Scenario: A process that does not start is reported
    When process starts "no-such-standin"
    Then process reports that it did not start

  Scenario: A service counts how often each key ran, also when its answer was lost
    Given process has started "service --work-ms 0"
    When process calls it with the keys "k k j" and loses the answer to the first
    Then process reads the counts {"k": 2, "j": 1}

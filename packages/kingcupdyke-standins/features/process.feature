Feature: Tests start and stop stand-ins as separate processes

  Scenario Outline: Each stand-in reports its address and stops when requested
    Given process has started "<arguments>"
    Then process sets the fault <fault>, reports no violations and exits with status 0

    Examples:
      | arguments                                        | fault              |
      | store --writes-per-s 10                          | {"down": true}     |
      | hosts --lag 0.5                                  | {"lag_s": 2.5}     |
      | weights --per-s 2 --full-speed 5 --bytes-per-s 1GB | {"down": true}   |
      | engine --no-checks-fence --models m=1GB,n=2GB    | {"truncate": 1}    |
      | service --work-ms 0                              | {"slow_ms": 1.5}   |

  Scenario: A frozen process answers after it is thawed
    Given process has started "service --work-ms 0"
    Then process answers a request sent while it is frozen only after it is thawed

  Scenario: A killed process no longer runs
    Given process has started "service"
    Then process no longer runs after it is killed

  Scenario: A process that fails to start raises an error
    Then process reports that "no-such-standin" did not start

  Scenario: A service counts executions per idempotency key, also when the answer is lost
    Given process has started "service --work-ms 0"
    Then process counts {"k": 2, "j": 1} executions for the keys "k k j" although the first answer is lost

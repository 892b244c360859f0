Feature: Stand-ins run as processes that tests start and stop

  Scenario Outline: Each stand-in says where it listens and obeys a stop
    Given process has started "<arguments>"
    Then process takes the fault <fault>, finds no violations and ends with status 0

    Examples:
      | arguments                                        | fault              |
      | store --writes-per-s 10                          | {"down": true}     |
      | hosts --lag 0.5                                  | {"lag_s": 2.5}     |
      | weights --per-s 2 --full-speed 5 --bytes-per-s 1GB | {"down": true}   |
      | engine --no-checks-fence --models m=1GB,n=2GB    | {"truncate": 1}    |
      | service --work-ms 0                              | {"slow_ms": 1.5}   |

  Scenario: A frozen process answers once it is thawed
    Given process has started "service --work-ms 0"
    Then process gives an answer that it was frozen over only after the thaw

  Scenario: A killed process is gone
    Given process has started "service"
    Then process has ended once it is killed

  Scenario: A process that does not start is reported
    Then process reports that "no-such-standin" did not start

  Scenario: A service counts how often each key ran, also when its answer was lost
    Given process has started "service --work-ms 0"
    Then process counts {"k": 2, "j": 1} calls for the keys "k k j" though the first answer is lost

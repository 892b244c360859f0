Feature: A process that contends for a lease goes on when its record can't be read

  Scenario Outline: A record of another writer is not taken over, and another one later is read: <value>
    When leasemanager: the lease's object is "<value>"
    Then leasemanager: the lease is not taken, and it is once the object is gone

    Examples:
      | value |
      | nested |
      | nothing |
      | {"name":"planner","owner":"x","fence":"one","duration_s":3.0} |

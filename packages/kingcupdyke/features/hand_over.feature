Feature: A draining endpoint may stop when each of its models has enough other holders

  Scenario Outline: <case>
    When hand_over: endpoint a needs a replica each of x and y, and receives "<events>"
    Then hand_over: the commands are "<commands>"

    Examples:
      | case | events | commands |
      | all models handed over | start; read x a,b; written x; read x a!,b; written x; read x b; read y a,b; written y; read y a!,b; written y; read y b | read x, read y; write x a!,b; read x; write x b; read x; -; write y a!,b; read y; write y b; read y; go - |
      | one model lacks a holder | start; read x a,b!; written x; read x a!,b!; wait 1; read x a!,b!,c | read x, read y; write x a!,b!; read x; load x 1; read x, read y; write x b!,c |
      | read again only after an interval | start; wait 0.5; wait 0.5 | read x, read y; -; read x, read y |
      | the timeout expires | start; read x a!; wait 30; wait 1; read x a!,b; written x; conflict x a!,b | read x, read y; load x 1; go x,y; -; -; -; - |
      | the timeout expires for one model | start; read x a!,b; written x; read x b; wait 30 | read x, read y; write x b; read x; -; go y |
      | a model that is handed over is ignored | start; read x a!,b; written x; read x b; read x a; written x | read x, read y; write x b; read x; -; -; - |
      | a conflict returns a better record | start; read x a,b!; conflict x a!,b!,c | read x, read y; write x a!,b!; write x b!,c |

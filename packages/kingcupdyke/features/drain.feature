Feature: A planned stop cuts off no request

  # In a script "r1" is admitted, "-r1" finished, "hold" and "release" are of a load in progress,
  # "stop" and "told" are given, +S moves the time. News that is not told holds an exit for 5 s.

  Scenario Outline: A leaving process finishes what it has and refuses the rest: <case>
    When drain plays "<script>"
    Then drain refused "<refused>", is "<state>" with <in_flight> in flight and may exit: <exit>

    Examples:
      | case                          | script                                  | refused | state   | in_flight | exit |
      | running                       | r1 told +99                             | none    | running | 1         | no   |
      | idle is no reason to exit     | told +99                                | none    | running | 0         | no   |
      | streams open                  | r1 r2 stop told -r1 +99                 | none    | leaving | 1         | no   |
      | last stream ends              | r1 stop told -r1                        | none    | drained | 0         | yes  |
      | new work                      | r1 stop r2                              | r2      | leaving | 1         | no   |
      | new work once drained         | stop told r1                            | r1      | drained | 0         | yes  |
      | resume of what runs           | r1 stop r1                              | none    | leaving | 1         | no   |
      | resume of what has ended      | r1 stop -r1 r1                          | r1      | drained | 0         | no   |
      | news not told yet             | stop +4                                 | none    | drained | 0         | no   |
      | news never told               | stop +5                                 | none    | drained | 0         | yes  |
      | told before the stop          | told stop +4                            | none    | drained | 0         | no   |
      | stop during a load            | hold stop told +99                      | none    | leaving | 0         | no   |
      | load ends                     | hold stop told release                  | none    | drained | 0         | yes  |
      | load asked during a stop      | stop told hold                          | hold    | drained | 0         | yes  |
      | load asked again during a stop | hold stop told hold                    | none    | leaving | 0         | no   |
      | stop during a stop            | r1 stop +3 stop +2 -r1                  | none    | drained | 0         | yes  |
      | finished twice                | r1 r2 stop told -r1 -r1                 | none    | leaving | 1         | no   |
      | admitted twice                | r1 r1 stop told -r1                     | none    | drained | 0         | yes  |

  Scenario: A refusal is "not run", at once, and names the process
    When drain plays "stop r1 hold"
    Then drain failed as "not_run" at "admit order" of "g1" with 0 s to wait

  Scenario: Stopping all gateways in turn cuts off nothing and loses no request
    Then drain of 4 gateways in turn runs each request once, cuts off none and replaces all

  Scenario: A kill after a stop began takes back nothing that was refused
    Then drain's request refused before a kill runs once elsewhere and the held one is "unknown"

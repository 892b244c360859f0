Feature: A planned stop interrupts no request

  # In a script, "r1" admits request r1 and "-r1" finishes it, "hold" and "release" begin and end a
  # load, "stop" begins the planned stop, "told" is the delivery of the leave notice, and +S
  # advances the time by S seconds. An undelivered notice delays the exit for at most 5 s.

  Scenario Outline: A stopping process finishes admitted requests and refuses new ones: <case>
    When drain runs "<script>"
    Then drain refused "<refused>", is "<state>" with <in_flight> in flight and may exit: <exit>

    Examples:
      | case                          | script                  | refused | state   | in_flight | exit |
      | running                       | r1 told +99             | none    | running | 1         | no   |
      | idle, but not stopping        | told +99                | none    | running | 0         | no   |
      | two requests, one ends        | r1 r2 stop told -r1 +99 | none    | leaving | 1         | no   |
      | last request ends             | r1 stop told -r1        | none    | drained | 0         | yes  |
      | new request                   | r1 stop r2              | r2      | leaving | 1         | no   |
      | new request once drained      | stop told r1            | r1      | drained | 0         | yes  |
      | resume of a running request   | r1 stop r1              | none    | leaving | 1         | no   |
      | resume of an ended request    | r1 stop -r1 r1          | r1      | drained | 0         | no   |
      | notice not yet delivered      | stop +4                 | none    | drained | 0         | no   |
      | notice never delivered        | stop +5                 | none    | drained | 0         | yes  |
      | delivered before the stop     | told stop +4            | none    | drained | 0         | no   |
      | stop during a load            | hold stop told +99      | none    | leaving | 0         | no   |
      | load ends                     | hold stop told release  | none    | drained | 0         | yes  |
      | new load during a stop        | stop told hold          | hold    | drained | 0         | yes  |
      | same load again during a stop | hold stop told hold     | none    | leaving | 0         | no   |
      | stop during a stop            | r1 stop +3 stop +2 -r1  | none    | drained | 0         | yes  |
      | finished twice                | r1 r2 stop told -r1 -r1 | none    | leaving | 1         | no   |
      | admitted twice                | r1 r1 stop told -r1     | none    | drained | 0         | yes  |

  Scenario: A refusal is "not run", names the process and may be retried immediately
    When drain runs "stop r1 hold"
    Then drain failed as "not_run" at "admit order" of "g1" with retry after 0 s

  Scenario: Stopping all gateways in turn interrupts and loses no request
    Then drain of 4 gateways in turn runs each request once, interrupts none, replaces all

  Scenario: A request refused by a stopping process stays "not run" when the process is killed
    Then drain's request refused before a kill runs once elsewhere and the sent one is "unknown"

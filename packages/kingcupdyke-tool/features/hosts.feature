Feature: Operators show the state of hosts, explain routing and drain hosts

  Scenario Outline: Status shows which hosts respond, their versions and their load
    Given tool hosts at version 4 with the fault "<fault>"
    When tool status runs with the store at <head>
    Then tool hosts end with code <code> and print "<text>"

    Examples:
      | fault            | head      | code | text                              |
      | none             | version 4 | 0    | e1 sidecar bohemia/praha-1 live 4 3 14.0/80.0GB cs-7b |
      | none             | version 4 | 0    | g1 gateway bohemia/praha-1 live 4 2 - - |
      | none             | version 5 | 1    | e1 has version 4, not yet 5       |
      | none             | away      | 0    | store: unavailable                |
      | sidecar stopped  | version 4 | 1    | state of e1 is unknown            |
      | sidecar hangs    | version 4 | 1    | state of e1 is unknown            |
      | gateway rejects  | version 4 | 1    | operator's token is needed        |
      | gateway garbles  | version 4 | 1    | unexpected answer format          |
      | gateway floods   | version 4 | 1    | longer than 4194304 bytes         |
      | gateway nests    | version 4 | 1    | decoding the answer may take more than |
      | gateway strays   | version 4 | 1    | invalid status 600                |

  Scenario Outline: A drain reports whether it was accepted, rejected, not sent or of unknown outcome
    Given tool hosts at version 4 with the fault "<fault>"
    When tool drain runs for "<host>"
    Then tool hosts end with code <code> and print "<text>"

    Examples:
      | fault           | host | code | text                      |
      | none            | e1   | 0    | finishes 3 in progress    |
      | none            | g1   | 0    | finishes 2 in progress    |
      | none            | e9   | 2    | has no host 'e9'          |
      | sidecar stopped | e1   | 5    | nothing was done          |
      | sidecar hangs   | e1   | 4    | safe to repeat            |
      | gateway rejects | g1   | 1    | g1 rejected the call      |
      | sidecar rejects | e1   | 1    | operator's token          |

  Scenario Outline: Explain shows a gateway's routing of a request
    Given tool hosts at version 4 with the fault "<fault>"
    When tool explain runs for "<model>" and caller "app & co"
    Then tool hosts end with code <code> and print "<text>"

    Examples:
      | fault           | model | code | text                              |
      | none            | cs-7b | 0    | endpoint=e1, running=3            |
      | none            | x     | 1    | no rule names                     |
      | gateway stopped | cs-7b | 5    | no gateway responds               |

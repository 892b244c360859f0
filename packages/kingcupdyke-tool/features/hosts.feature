Feature: Operators look at hosts and drain them

  Scenario Outline: Status tells who answers and who has which version
    Given tool hosts at version 4 with the fault "<fault>"
    When tool status is asked with the store at <head>
    Then tool hosts end with code <code> and say "<text>"

    Examples:
      | fault            | head      | code | text                              |
      | none             | version 4 | 0    | e1 sidecar bohemia/praha-1 live 4 3 14.0/80.0GB cs-7b |
      | none             | version 4 | 0    | g1 gateway bohemia/praha-1 live 4 2 - - |
      | none             | version 5 | 1    | e1 has version 4, not yet 5       |
      | none             | away      | 0    | store: away                       |
      | sidecar gone     | version 4 | 1    | e1 gives no answer                |
      | sidecar silent   | version 4 | 1    | e1 gives no answer                |
      | gateway refuses  | version 4 | 1    | operator's token is needed        |
      | gateway babbles  | version 4 | 1    | an answer of another form         |

  Scenario Outline: A drain is done, refused truly or left unknown
    Given tool hosts at version 4 with the fault "<fault>"
    When tool drain is asked for "<host>"
    Then tool hosts end with code <code> and say "<text>"

    Examples:
      | fault           | host | code | text                      |
      | none            | e1   | 0    | finishes 3 in progress    |
      | none            | g1   | 0    | finishes 2 in progress    |
      | none            | e9   | 2    | names no 'e9'             |
      | sidecar gone    | e1   | 5    | nothing was done          |
      | sidecar silent  | e1   | 4    | asking again does no harm |
      | gateway refuses | g1   | 1    | g1 refuses                |
      | sidecar refuses | e1   | 1    | operator's token          |

  Scenario Outline: Explain asks a gateway
    Given tool hosts at version 4 with the fault "<fault>"
    When tool explain is asked for "<model>" and caller "app & co"
    Then tool hosts end with code <code> and say "<text>"

    Examples:
      | fault           | model | code | text                              |
      | none            | cs-7b | 0    | endpoint=e1, running=3            |
      | none            | x     | 1    | no rule names                     |
      | gateway gone    | cs-7b | 5    | no gateway answers                |

Feature: An error ends only the task, call or connection in which it occurs

  # Guards against a process that ends, and cuts off all its clients, as one of its tasks fails.
  Scenario: A task that fails ends neither the others nor the group, and is logged and counted
    When taskerrors: of two tasks of a group one fails, and another one is started later
    Then taskerrors: the other tasks have ended as usual
    And taskerrors: the error was logged with its traceback, and counted for that task

  # Guards against a task that ends silently although the process relies on it.
  Scenario: A task that must go on is started again after an error, later each time
    When taskerrors: a task that must go on fails 3 times and then ends
    Then taskerrors: it was started 4 times, with growing pauses

  Scenario: Errors that come all the time are counted, and logged once a second
    When taskerrors: a task fails 500 times within 0.1 s
    Then taskerrors: all 500 are counted, and at most 2 are logged

  Scenario: A subscriber of the timer service that fails is called again
    When taskerrors: a subscriber fails each time that it is called
    Then taskerrors: it is called again, and so are the others

  # Guards against a gateway that ends when it has no free file descriptor.
  Scenario Outline: A listener goes on after a connection that can't be accepted: <case>
    When taskerrors: accepting a connection fails with <case>, and a client connects
    Then taskerrors: the client gets its answer

    Examples:
      | case |
      | EMFILE |
      | ENFILE |
      | ECONNABORTED |
      | ENOBUFS |

  Scenario: A client gets an answer when its request ends with an unexpected error
    When taskerrors: the handler of a request fails
    Then taskerrors: that client gets status 500, and the next one its answer

  # Guards against a gateway that ends because of one engine's address or answer (rule LOST).
  Scenario Outline: The planner goes on with the other engines when calls to one of them fail: <case>
    When taskerrors: of two engines one <case>
    Then taskerrors: the planner gives orders to the other one, and the errors are counted

    Examples:
      | case |
      | has an address that no client can be made for |
      | answers with a header that can't be read |

  # Guards against counts that stay wrong as a message was applied in part.
  Scenario Outline: A peer's state whose fields have other types is not applied in part: <case>
    Then taskerrors: the state with <field> as <value> can't be decoded

    Examples:
      | case | field | value |
      | a load whose second count is text | loads | [["e1", 2, "three"]] |
      | a load without counts | loads | [["e1"]] |
      | a demand whose count is a list | demands | [["m", "a", [], 1.0]] |
      | a list as endpoint | unreachable | [["e1"]] |
      | a list as host | host | [] |
      | a fence that is text | fence | "x" |
      | a negative fence | fence | -1 |
      | an era beyond all | store_era | 99999999999 |
      | a promise without a number | lease_promise | ["h", "i", 3] |
      | a placement whose time is text | placements | [["e", "m", "", true, "soon"]] |

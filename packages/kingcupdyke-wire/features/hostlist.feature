Feature: The host list shows changes after its lag

  Scenario Outline: A change shows once the lag is over
    When hostlist with a lag of <lag> s reads <delay> s after the host "s1" was <change>
    Then hostlist has seen "<seen>"

    Examples:
      | lag  | delay | change         | seen       |
      | 0    | 0     | listed         | s1 live    |
      | 0.05 | 0     | listed         |            |
      | 0.05 | 0.06  | listed         | s1 live    |
      | 0    | 0     | listed leaving | s1 leaving |
      | 0    | 0     | deleted        |            |

  Scenario: An answer of another form is a failure
    When hostlist reads an entry without its fields
    Then hostlist has failed at step "configure"

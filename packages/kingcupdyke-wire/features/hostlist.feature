Feature: The host list shows changes after its lag

  Scenario Outline: A change is listed after the lag
    When hostlist with a lag of <lag> s reads <delay> s after the host "s1" was <change>
    Then hostlist has read "<hosts>"

    Examples:
      | lag  | delay | change         | hosts      |
      | 0    | 0     | listed         | s1 live    |
      | 0.05 | 0     | listed         |            |
      | 0.05 | 0.06  | listed         | s1 live    |
      | 0    | 0     | listed leaving | s1 leaving |
      | 0    | 0     | deleted        |            |

  Scenario: An answer with an unexpected format is a failure
    When hostlist reads an entry without its fields
    Then hostlist has failed at step "configure"

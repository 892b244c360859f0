Feature: "Not run" is said only of attempts that never ran and never will

  Scenario Outline: An attempt that is not held any more: <case>
    When resume, which remembers for 600 s, meets <events>
    Then resume says <said>

    Examples:
      | case                            | events                                            | said                    |
      | it never arrived                | ask same 2                                        | not_run                 |
      | it arrived before               | arrive; ask same 2                                | run, unknown            |
      | it arrives after it was denied  | ask same 2; arrive                                | not_run, refused        |
      | it is delivered twice           | arrive; arrive                                    | run, refused            |
      | it went to an earlier start     | ask other 2                                       | unknown                 |
      | it is too old to be remembered  | ask same 400                                      | unknown                 |
      | it arrives late, still denied   | ask same 2; pass 500; arrive                      | not_run, refused        |
      | asked again after the denial    | ask same 2; ask same 4                            | not_run, not_run        |
      | it ended long ago               | arrive; pass 700; ask same 700                    | run, unknown            |

Feature: "Not run" is reported only for attempts that never ran and never will

  Scenario Outline: The outcome of an attempt that is no longer held: <case>
    When resume, with a retention of 600 s, processes <events>
    Then resume reports <reported>

    Examples:
      | case                                  | events                         | reported         |
      | it never arrived                      | ask same 2                     | not_run          |
      | it arrived before                     | arrive; ask same 2             | run, unknown     |
      | it arrives after it was denied        | ask same 2; arrive             | not_run, refused |
      | it arrives twice                      | arrive; arrive                 | run, refused     |
      | it was sent to an earlier incarnation | ask other 2                    | unknown          |
      | it is older than half the retention   | ask same 400                   | unknown          |
      | it arrives late, still denied         | ask same 2; pass 500; arrive   | not_run, refused |
      | asked again after the denial          | ask same 2; ask same 4         | not_run, not_run |
      | it ended long ago                     | arrive; pass 700; ask same 700 | run, unknown     |

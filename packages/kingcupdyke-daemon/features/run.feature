Feature: An attempt that was cancelled counts until its back end has heard of it

  Scenario Outline: The deadline passes while the back end works
    Given a run at a back end that never answers and takes <cancel> ms to cancel
    When the run passes its deadline of 20 ms
    Then the run's end says that its outcome is unknown
    And the run's back end was <state> by then

    Examples:
      | cancel | state         |
      | 0      | cancelled     |
      | 100    | cancelled     |
      | 60000  | not cancelled |

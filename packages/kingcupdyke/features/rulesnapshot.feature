Feature: Rule snapshots are compared and changed

  Scenario Outline: A delta holds the differences and turns the old snapshot into the new one
    When the rule snapshot <old> is compared with <new>
    Then the snapshot delta puts "<puts>", removes "<removes>" and turns the old one into the new

    Examples: each rule is KEY=WEIGHT
      | old         | new           | puts     | removes  |
      | a=1 b=2     | a=1 b=2       |          |          |
      | a=1 b=2     | b=2 a=1       |          |          |
      | a=1         | a=1 b=2       | caller/b |          |
      | a=1 b=2     | a=1 b=3       | caller/b |          |
      | a=1 b=2 c=3 | b=2 d=4       | caller/d | caller/a caller/c |

  Scenario Outline: Unknown fields of a stored rule are ignored, and a malformed rule is skipped
    Then the rule snapshot that holds "caller/a" with the fields <fields> has <callers> callers

    Examples:
      | fields                                                              | callers |
      | {"name": "a", "token_digest": "d", "weight": 1.0}                   | 1       |
      | {"name": "a", "token_digest": "d", "weight": 1.0, "quota": 5}       | 1       |
      | {"name": "a"}                                                       | 0       |
      | broken                                                              | 0       |

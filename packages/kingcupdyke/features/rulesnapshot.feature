Feature: A rule book is compared and changed

  Scenario Outline: A delta holds what differs and leads to the new book
    When the book <old> is compared with <new>
    Then the book delta puts "<puts>", removes "<removes>" and leads from one to the other

    Examples: each rule is KEY=WEIGHT
      | old         | new           | puts     | removes  |
      | a=1 b=2     | a=1 b=2       |          |          |
      | a=1 b=2     | b=2 a=1       |          |          |
      | a=1         | a=1 b=2       | caller/b |          |
      | a=1 b=2     | a=1 b=3       | caller/b |          |
      | a=1 b=2 c=3 | b=2 d=4       | caller/d | caller/a caller/c |

  Scenario Outline: A stored rule of another release does not stop the others
    Then the book that reads "caller/a" with the fields <fields> has <callers> callers

    Examples:
      | fields                                                              | callers |
      | {"name": "a", "token_digest": "d", "weight": 1.0}                   | 1       |
      | {"name": "a", "token_digest": "d", "weight": 1.0, "quota": 5}       | 1       |
      | {"name": "a"}                                                       | 0       |
      | broken                                                              | 0       |

Feature: Of the request bodies that are received, the slowest gives way when there is no room

  # Guards against clients that hold the whole budget with bodies that they do not end.
  Scenario Outline: A body of 60 bytes comes to a budget of 100, <case>
    Given incomingbodies: a budget of 100 bytes
    And incomingbodies: a body "old" that declares <declared> bytes, of which <received> arrive at <at> s
    When incomingbodies: a body "new" declares 60 bytes at 2.0 s
    Then incomingbodies: "new" is <new>, and "old" <old>

    Examples:
      | case | declared | received | at | new | old |
      | beside a paused one | 80 | 70 | 0.5 | accepted | gives way |
      | beside one that declares none and pauses | 0 | 70 | 0.5 | accepted | gives way |
      | beside a dripping one | 80 | 8 | 1.9 | accepted | gives way |
      | beside a steady one | 80 | 40 | 1.9 | rejected | stays |
      | beside a slow one where there is room | 40 | 1 | 0.5 | accepted | stays |

  # Guards against bodies that give way although that helps nobody.
  Scenario: Nothing gives way for a body that does not fit even then
    Given incomingbodies: a budget of 100 bytes
    And incomingbodies: a body "old" that declares 80 bytes, of which 1 arrive at 0.5 s
    When incomingbodies: a body "new" declares 120 bytes at 2.0 s
    Then incomingbodies: "new" is rejected, and "old" stays

  Scenario: The slowest gives way first, and a young one not at all
    Given incomingbodies: a budget of 100 bytes
    And incomingbodies: a body "slow" that declares 30 bytes, of which 1 arrive at 1.5 s
    And incomingbodies: a body "slowest" that declares 40 bytes, of which 1 arrive at 1.5 s
    When incomingbodies: a body "young" declares 30 bytes at 1.5 s
    And incomingbodies: a body "new" declares 30 bytes at 2.0 s
    Then incomingbodies: "new" is accepted, and "slowest" gives way
    And incomingbodies: "slow" and "young" stay

  Scenario: What a body has taken is released once, whether it is handed over or not
    Given incomingbodies: a budget of 100 bytes
    And incomingbodies: a body "old" that declares 80 bytes, of which 70 arrive at 0.5 s
    When incomingbodies: "old" is handed over and closed
    Then incomingbodies: 70 bytes are held

  Scenario: A body is handed over as it came, whatever the size of its parts
    Then incomingbodies: bodies of up to 300000 bytes in parts of 1 to 100000 bytes are handed over as they came

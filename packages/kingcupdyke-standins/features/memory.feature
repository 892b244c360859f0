Feature: Memory accounting of an engine records every overcommit

  Scenario Outline: Loads and role changes count at their full size from their start
    Given a memory of 10 bytes with the model "m" of 4 bytes and a role of 2 bytes
    When memory starts "<started>" and completes "<completed>"
    Then memory has used <used> bytes and recorded <overcommits> overcommits

    Examples: loads as ID:BYTES, role changes as ID=BYTES
      | started      | completed | used | overcommits |
      | a:4          |           | 10   | 0           |
      | a:4          | a:4       | 10   | 0           |
      | a:5          |           | 6    | 1           |
      | a:2 b:2      |           | 10   | 0           |
      | a:2 b:3      |           | 8    | 1           |
      | r=6          |           | 10   | 0           |
      | r=6          | r=6       | 10   | 0           |
      | r=7          |           | 6    | 1           |
      | r=1          |           | 6    | 0           |
      | r=1          | r=1       | 5    | 0           |
      | r=1 a:5      |           | 6    | 1           |

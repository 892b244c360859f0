Feature: The check of a rule file reports all errors in one pass

  Scenario: A rule of each kind is read
    Given check's valid rule lines
    Then check gives a snapshot of 7 rules that parses back to the same values

  Scenario Outline: An invalid field is reported with its line and a remedy
    Given check's valid rule lines
    And check's line <line> has the field "<field>" as <value>
    Then check reports only line <line>, field "<named>" and a remedy with "<remedy>"

    Examples:
      | line | field        | value             | named        | remedy              |
      | 2    | hosts        | 0                 | hosts        | 1 or more           |
      | 2    | per_host     | "80 cows"         | per_host     | a size              |
      | 3    | weight       | 0                 | weight       | 0.01                |
      | 3    | token_sha256 | "secret"          | token_sha256 | 64 hexadecimal      |
      | 6    | service      | "a/b"             | service      | letters, digits     |
      | 4    | version      | 3                 | version      | non-empty string    |
      | 4    | weights      | 0                 | weights      | above zero          |
      | 4    | kv           | null              | kv           | a size              |
      | 4    | replicas     | true              | replicas     | whole number        |
      | 4    | replicas     | 9                 | replicas     | lower the replicas  |
      | 4    | regions      | []                | regions      | at least one        |
      | 4    | regions      | ["silesia"]       | regions      | add a memory rule   |
      | 4    | callers      | ["app", "app"]    | callers      | none of them twice  |
      | 4    | callers      | ["nobody"]        | callers      | add a caller rule   |
      | 4    | class        | "urgent"          | class        | interactive, batch  |
      | 4    | deadline     | "0s"              | deadline     | above zero          |
      | 4    | replica      | 2                 | replica      | do you mean replicas |
      | 5    | model        | "cs-drafts"       | model        | add a model rule    |
      | 5    | adapter      | "cs-7b"           | adapter      | taken by line 4     |
      | 6    | idempotent   | ["GET", "FETCH"]  | idempotent   | GET, HEAD           |
      | 7    | lean         | 1.5               | lean         | from 0 to 1         |
      | 8    | caller       | "app"             | caller       | taken by line 3     |
      | 8    | token_sha256 | "digest of app"   | token_sha256 | taken by line 3     |

  Scenario: A line without a comment is rejected
    Given check's valid rule lines
    And check's line 4 has no comment
    Then check reports only line 4, field "#" and a remedy with "who requested"

  Scenario: All errors of a file are reported together, in order of the lines
    Given check's valid rule lines
    And check's line 4 has no comment
    And check's line 7 has the field "lean" as 2
    And check's line 4 has the field "replicas" as "two"
    And check's line 2 has the field "modle" as 1
    And check's line 5 has the field "callers" as ["nobody"]
    Then check reports the lines 2, 4, 4, 5, 7

  Scenario Outline: A file that is not a list of rules is rejected
    Given check's rule lines are <fields>
    Then check reports only line 1, field "<named>" and a remedy with "<remedy>"

    Examples:
      | fields            | named    | remedy            |
      | []                |          | at least one line |
      | [{"modle": "x"}]  | modle    | begin the rule    |
      | [{"class": "x"}]  | class    | begin the rule    |
      | [{}]              |          | begin the rule    |

Feature: Operators check, apply and show rules

  Scenario Outline: A rule file is applied only if its base version is the latest
    Given tool rules are in force at version 3
    When tool rules "<file>" made from <made from> are applied while <fault>
    Then tool rules end with code <code>, print "<text>" and the store is at version <version>

    Examples:
      | file   | made from   | fault                            | code | text               | version |
      | more   | version 3   | nothing fails                    | 0    | applied as version 4 | 4     |
      | more   | no version  | nothing fails                    | 0    | applied as version 4 | 4     |
      | more   | base 3      | nothing fails                    | 0    | applied as version 4 | 4     |
      | same   | version 3   | nothing fails                    | 0    | nothing to do      | 3       |
      | more   | version 2   | nothing fails                    | 3    | version 3 by Petr  | 3       |
      | same   | version 2   | nothing fails                    | 3    | caller: late       | 3       |
      | more   | base 1      | nothing fails                    | 3    | version 2 by Jana  | 3       |
      | more   | version 9   | nothing fails                    | 1    | there is no version 9 | 3    |
      | broken | version 3   | nothing fails                    | 2    | 2 problems         | 3       |
      | more   | version 3   | the store is down                | 5    | nothing was done   | 3       |
      | more   | version 3   | another writer is first          | 3    | version 4 by Rival | 4       |
      | more   | version 3   | the answer is lost               | 0    | applied as version 4 | 4     |
      | more   | version 3   | the answer is lost, the store is down | 4   | rules history 4-   | 4       |

  Scenario Outline: The history shows the outcome of a change by its id
    Given tool rules are in force at version 3
    When tool history runs for "<id>" while <fault>
    Then tool rules end with code <code>, print "<text>" and the store is at version 3

    Examples:
      | id    | fault             | code | text                    |
      | 3-c   | nothing fails     | 0    | applied as version 3    |
      | 3-x   | nothing fails     | 1    | not applied, and never  |
      | 4-x   | nothing fails     | 4    | not applied so far      |
      | 3-c   | the store is down | 4    | unknown                 |
      | x     | nothing fails     | 2    | not the id              |
      | none  | nothing fails     | 0    | version 2 by Jana       |

  Scenario: The output of rules show can be edited and applied
    Given tool rules are in force at version 3
    When tool rules are shown and applied with one more line
    Then tool rules end with code 0, print "+ - {caller: more" and the store is at version 4

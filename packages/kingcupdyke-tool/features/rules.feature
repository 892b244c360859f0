Feature: Operators check, apply and show rules

  Scenario Outline: An apply is taken only against the version that its operator read
    Given tool rules are in force at version 3
    When tool rules "<file>" made from <made from> are applied while <fault>
    Then tool rules end with code <code>, say "<text>" and the store is at version <version>

    Examples:
      | file   | made from   | fault                            | code | text               | version |
      | more   | version 3   | all is well                      | 0    | applied as version 4 | 4     |
      | more   | no version  | all is well                      | 0    | applied as version 4 | 4     |
      | more   | base 3      | all is well                      | 0    | applied as version 4 | 4     |
      | same   | version 3   | all is well                      | 0    | nothing to do      | 3       |
      | more   | version 2   | all is well                      | 3    | version 3 by Petr  | 3       |
      | same   | version 2   | all is well                      | 3    | caller: late       | 3       |
      | more   | base 1      | all is well                      | 3    | version 2 by Jana  | 3       |
      | more   | version 9   | all is well                      | 1    | there is no version 9 | 3    |
      | broken | version 3   | all is well                      | 2    | 2 problems         | 3       |
      | more   | version 3   | the store is down                | 5    | nothing was done   | 3       |
      | more   | version 3   | a rival writes first             | 3    | version 4 by Rival | 4       |
      | more   | version 3   | the answer is lost               | 0    | applied as version 4 | 4     |
      | more   | version 3   | the answer and the store are lost | 4   | rules history 4-   | 4       |

  Scenario Outline: The outcome of a change is settled afterwards by its id
    Given tool rules are in force at version 3
    When tool history is asked for "<id>" while <fault>
    Then tool rules end with code <code>, say "<text>" and the store is at version 3

    Examples:
      | id    | fault             | code | text                    |
      | 3-c   | all is well       | 0    | applied as version 3    |
      | 3-x   | all is well       | 1    | not applied, and never  |
      | 4-x   | all is well       | 4    | not applied so far      |
      | 3-c   | the store is down | 4    | unknown                 |
      | x     | all is well       | 2    | no id                   |
      | none  | all is well       | 0    | version 2 by Jana       |

  Scenario: What is shown can be edited and applied
    Given tool rules are in force at version 3
    When tool rules are shown and applied with one line more
    Then tool rules end with code 0, say "+ - {caller: more" and the store is at version 4

Feature: Answers and request bodies share a memory budget, and slow readers do not take it from others

  # Guards against slow clients that exhaust the memory of the process, and against answers that are
  # never read again once there is memory.

  Scenario Outline: The budget is a quarter of the memory limit, or 64 MB: <limit>
    Then memorybudget: a limit of <limit> bytes gives a budget of <budget> bytes

    Examples:
      | limit | budget |
      | None | 67108864 |
      | 160000000 | 40000000 |
      | 552000000 | 138000000 |

  Scenario: One answer holds at most a sixteenth of the budget
    Given memorybudget: a budget of 1600 bytes
    When memorybudget: answers "a" are read in parts of 10 bytes until all are stopped
    Then memorybudget: the answers hold "100"

  Scenario: A stopped answer is read again when its client has read
    Given memorybudget: a budget of 1600 bytes
    When memorybudget: answers "a" are read in parts of 10 bytes until all are stopped
    And memorybudget: the client of "a" reads 9 bytes
    Then memorybudget: the answers resumed are ""
    When memorybudget: the client of "a" reads 1 bytes
    Then memorybudget: the answers resumed are "a"

  Scenario: The largest answers are stopped first, and a new one still has room
    Given memorybudget: a budget of 1600 bytes
    And memorybudget: bodies of 1262 bytes
    And memorybudget: answers "a b c d" that hold "90 90 60 30"
    Then memorybudget: the answers that may be read are "c d"
    When memorybudget: answers "e" are read in parts of 10 bytes until all are stopped
    Then memorybudget: the answers that may be read are "d"

  Scenario: The smallest stopped answers are resumed first
    Given memorybudget: a budget of 1600 bytes
    And memorybudget: bodies of 1400 bytes
    And memorybudget: answers "a b c" that hold "80 70 50"
    Then memorybudget: the answers that may be read are ""
    When memorybudget: 100 bytes of bodies are released
    Then memorybudget: the answers resumed are "c b a"

  Scenario: An answer that ends leaves its memory to those that are stopped
    Given memorybudget: a budget of 1600 bytes
    And memorybudget: bodies of 1400 bytes
    And memorybudget: answers "a b c" that hold "80 70 50"
    Then memorybudget: the answers that may be read are ""
    When memorybudget: the answer "b" ends
    Then memorybudget: the answers resumed are "c"

  Scenario: An answer whose client has taken everything is read even if the budget is used up
    Given memorybudget: a budget of 1600 bytes
    And memorybudget: bodies of 1600 bytes
    And memorybudget: answers "a b" that hold "0 1"
    Then memorybudget: the answers that may be read are "a"

  Scenario: A body is accepted if it fits beside what is held
    Given memorybudget: a budget of 1600 bytes
    And memorybudget: answers "a" that hold "100"
    Then memorybudget: a body of 1501 bytes is rejected
    And memorybudget: a body of 1500 bytes is accepted
    And memorybudget: a body of 1 bytes is rejected
    And memorybudget: a body of 0 bytes is accepted

  Scenario: Slow readers leave a quarter of the budget to request bodies
    Given memorybudget: a budget of 16000 bytes
    When memorybudget: 200 answers are read in parts of 1 bytes until all are stopped
    Then memorybudget: a body of 4000 bytes is accepted

  Scenario: A larger budget resumes answers
    Given memorybudget: a budget of 1600 bytes
    When memorybudget: answers "a" are read in parts of 10 bytes until all are stopped
    And memorybudget: the budget becomes 3200 bytes
    Then memorybudget: the answers resumed are "a"

  Scenario Outline: <readers> slow readers share the budget evenly, with parts of up to <part> bytes
    Given memorybudget: a budget of 40000000 bytes
    When memorybudget: <readers> clients read <part> bytes a round at most, with seed <seed>
    Then memorybudget: the budget is never exceeded by more than one part an answer
    And memorybudget: every client gets its whole answer
    And memorybudget: while all are slow, none holds more than another and one part
    And memorybudget: nothing is held at the end

    Examples:
      | readers | part | seed |
      | 1000 | 65536 | 1 |
      | 1000 | 300 | 2 |
      | 12 | 65536 | 3 |

Feature: What endpoints have sent and a gateway can't pass on yet uses a bounded part of its memory

  # Guards against endpoints that send bytes without end and take the memory of all requests.

  Scenario Outline: <case>
    Given unfinishedparts: a budget of 1600 bytes
    When unfinishedparts: answers of "<endpoints>" grow in turn by 10 bytes until none may
    Then unfinishedparts: the endpoints hold "<held>"

    Examples:
      | case | endpoints | held |
      | an endpoint holds at most a sixteenth of the budget | a | 100 |
      | its answers share that | a a a a | 100 |
      | many endpoints leave room for another one | a b c d e f g | 50 50 50 50 50 50 50 |

  Scenario: An endpoint that holds little has room while others hold what they may
    Given unfinishedparts: a budget of 1600 bytes
    When unfinishedparts: answers of "a b c d e f g" grow in turn by 10 bytes until none may
    Then unfinishedparts: an answer of "h" may hold 50 bytes, and not 60

  Scenario: An answer that ends leaves its bytes to others
    Given unfinishedparts: a budget of 1600 bytes
    When unfinishedparts: answers of "a a" grow in turn by 10 bytes until none may
    And unfinishedparts: the first answer ends
    Then unfinishedparts: the endpoints hold "50"
    And unfinishedparts: an answer of "a" may hold 50 bytes, and not 60

  Scenario: A smaller budget takes nothing away, and permits nothing more
    Given unfinishedparts: a budget of 1600 bytes
    When unfinishedparts: answers of "a" grow in turn by 10 bytes until none may
    And unfinishedparts: the budget becomes 800 bytes
    Then unfinishedparts: the endpoints hold "100"
    And unfinishedparts: an answer of "a" may hold 0 bytes, and not 1

  Scenario: Answers for slow clients and request bodies have what such bytes leave
    Given unfinishedparts: a budget of 1600 bytes
    When unfinishedparts: answers of "a b c d e f g" grow in turn by 10 bytes until none may
    Then unfinishedparts: a body of 1250 bytes is accepted, and one of 1 byte more is not
    And unfinishedparts: an answer for a client is not read further beside a body of 1250 bytes
    When unfinishedparts: the first answer ends
    Then unfinishedparts: the answer for a client is read again

Feature: The weight store allows a rate and slows down beyond its full speed

  Scenario Outline: Transfers beyond the full speed share it
    Given a weights store of full speed 2 with 10000 bytes a second
    When weights is asked for <fetches> transfers of 500 bytes at once
    Then weights has answered all in at least <least> s

    Examples:
      | fetches | least |
      | 1       | 0.05  |
      | 2       | 0.05  |
      | 4       | 0.10  |

  Scenario: More than the rate is refused with the time to wait
    Given a weights store of 1 load a second
    When weights is asked for 2 transfers of 0 bytes at once
    Then weights has refused 1 and named a time of up to 1 s

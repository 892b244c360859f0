Feature: Options are parsed and checked, and keys are assigned by rendezvous hashing

  Scenario Outline: A size or a duration is parsed with its unit
    When util reads the option <given> as <kind>
    Then util gives <expected>

    Examples:
      | given   | kind    | expected    |
      | "14GB"  | bytes   | 14000000000 |
      | "2GiB"  | bytes   | 2147483648  |
      | 512     | bytes   | 512         |
      | "400ms" | seconds | 0.4         |
      | "1h"    | seconds | 3600        |

  Scenario Outline: An invalid value is refused with the option, the value and a remedy
    When util reads the option <given> as <kind>
    Then util refuses it and names option "value"

    Examples:
      | given     | kind    |
      | "14 cows" | bytes   |
      | -1        | bytes   |
      | true      | bytes   |
      | null      | seconds |
      | "fast"    | seconds |

  Scenario: Removing a member moves only the keys that were assigned to it
    Then util moves only the keys of the removed member, of 200 keys and 10 members

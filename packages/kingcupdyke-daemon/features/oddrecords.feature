Feature: Records of the product that can't be read end no process

  Scenario Outline: The record of a model's holders is "<value>"
    When oddrecords: the residency record "m1" is "<value>"
    Then oddrecords: reading and replacing it fail, and the record "m2" is cleaned

    Examples:
      | value |
      | nested |
      | no JSON |
      | {"model":"m1"} |

  Scenario Outline: The record of an endpoint's sidecar is "<value>"
    When oddrecords: the endpoint's record is "<value>" before a takeover, and is gone later
    Then oddrecords: the endpoint is taken over once it is gone

    Examples:
      | value |
      | nested |
      | no JSON |

  Scenario: The record of an endpoint's sidecar becomes unreadable
    When oddrecords: the endpoint's record becomes "nested" after a takeover
    Then oddrecords: the sidecar does not take itself for superseded, and stores no intent

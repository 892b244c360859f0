Feature: Rule files are read with their comments and lines

  Scenario: Lines, comments and the version in the header
    Given the rulefile text
      """
      # Rules of Prague
      # version: 12

      - {caller: app, token_sha256: "00"}  # Jana: drafts # before dawn
      # - {caller: old}  # nobody
      - {link: "a # b", lean: 0.5}
      """
    Then rulefile returns line 4 with the comment "Jana: drafts # before dawn"
    And rulefile returns line 6 with the comment ""
    And rulefile returns 2 lines, no problems and the base version 12

  Scenario Outline: An invalid line is reported with its number, and the other lines are kept
    Given the rulefile line <line> between two valid ones
    Then rulefile returns a problem at line 2 with "<remedy>" and keeps lines 1 and 3

    Examples:
      | line                                   | remedy             |
      | - {model: a                            | on one line        |
      | - {model: a, model: b}  # Jana         | duplicate key      |
      | - {model: a, callers: [*]}  # Jana     | quotes             |
      | - model: a  # Jana                     | on one line        |
      | - [a, b]  # Jana                       | on one line        |
      | [{model: a}]  # Jana                   | on one line        |
      | model: a  # Jana                       | on one line        |
      | - {model: 2026-02-31}  # Jana          | day is out         |
      | - {model: &a x, version: *b}  # Jana   | undefined alias    |

  Scenario: Syntax errors and errors in the other lines are reported together
    Given the rulefile text
      """
      - {model: a
      - {link: a, budget: 1KB, lean: 3}  # Jana
      - {link: b, budget: 1KB, lean: 1}
      """
    Then rulefile's check reports the lines 1, 2, 3

  Scenario Outline: Formatted rules read back as the same rules
    Given the rulefile text of the example "<example>"
    Then rulefile's check passes with <models> models and <adapters> adapters
    And ruletext formats it so that it reads back as the same rules at version 7

    Examples:
      | example       | models | adapters |
      | rozhodci-plan | 15     | 40       |
      | hoja-del-dia  | 15     | 55       |

  Scenario Outline: Formatted values read back exactly
    Given the rulefile text of one caller "<name>" and one link of <size> bytes
    Then ruletext formats it so that it reads back as the same rules at version 1

    Examples:
      | name | size          |
      | null | 14000000000   |
      | on   | 1             |
      | 1e5  | 999           |
      | 007  | 1234567890123 |
      | a:b  | 290000000     |

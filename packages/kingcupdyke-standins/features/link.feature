Feature: The link passes on how a connection ended

  Scenario Outline: A connection that was <end> does not look <other> behind the link
    When a server behind the link sends "half of it" and its connection is <end>
    Then the client of the link reads "half of it" and sees its connection <end>

    Examples:
      | end    | other  |
      | closed | reset  |
      | reset  | closed |

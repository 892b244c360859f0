Feature: Prompts that begin alike have hashes that begin alike

  Scenario Outline: Each whole block of 256 characters has a hash, up to 64
    Then prefix gives <hashes> hashes for <characters> characters

    Examples:
      | characters | hashes |
      | 0          | 0      |
      | 255        | 0      |
      | 256        | 1      |
      | 1023       | 3      |
      | 16640      | 64     |

  Scenario Outline: A hash stands for all that comes before its end, <case>
    Then prefix shares <shared> of 4 hashes with "<other>" and a change at character <at>

    # Of the model m without an adapter.
    Examples:
      | case                | other | at   | shared |
      | the same prompt     | m/    | 1024 | 4      |
      | the last character  | m/    | 1023 | 3      |
      | the second block    | m/    | 256  | 1      |
      | the first character | m/    | 0    | 0      |
      | another model       | n/    | 1024 | 0      |
      | an adapter          | m/a   | 1024 | 0      |

Feature: Prompts with a common prefix have their first hashes in common

  Scenario Outline: Each complete block of 256 characters has a hash, up to 64 blocks
    Then prefix gives <hashes> hashes for <characters> characters

    Examples:
      | characters | hashes |
      | 0          | 0      |
      | 255        | 0      |
      | 256        | 1      |
      | 1023       | 3      |
      | 16640      | 64     |

  Scenario Outline: A hash depends on the model, the adapter and the prompt up to its block: <case>
    Then prefix shares <shared> of 4 hashes with "<other>" and a change at character <at>

    # The other prompt is for MODEL/ADAPTER; the first one is for model m without an adapter.
    Examples:
      | case                | other | at   | shared |
      | the same prompt     | m/    | 1024 | 4      |
      | the last character  | m/    | 1023 | 3      |
      | the second block    | m/    | 256  | 1      |
      | the first character | m/    | 0    | 0      |
      | another model       | n/    | 1024 | 0      |
      | an adapter          | m/a   | 1024 | 0      |

Feature: The limit of client connections follows the limits of the process

  Scenario Outline: With <memory_mb> MB and <max_fds> descriptors
    Then connectionlimit: with a memory limit of <memory_mb> MB and <max_fds> descriptors it is <limit>

    Examples:
      | memory_mb | max_fds | limit |
      | no | no | 1024 |
      | 300 | no | 1017 |
      | 300 | 4100 | 1017 |
      | no | 4100 | 1918 |
      | 552 | 1000 | 368 |
      | 1 | 100 | 1 |

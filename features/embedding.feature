Feature: The core library can be embedded

  Scenario: The embedding example prints the documented output
    When the embedding example runs
    Then the embedding example prints
      """
      routed to model-1, crossing regions: False
      rejected: not_run, retry after 1.6 s
      second load: not_run at step order
      resident: chat-7b, free: 16 GiB
      duplicate dropped: True, part of another answer rejected: True
      complete: True
      """

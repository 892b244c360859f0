Feature: The core library can be embedded

  Scenario: The embedding example prints the documented output
    When the embedding example runs
    Then the embedding example prints
      """
      routed to model-1, crossing regions: False
      refused: not_run, come back in 1.6 s
      second load: not_run at step order
      resident: chat-7b, free: 16 GiB
      repeat dropped: True, crossed refused: True
      complete: True
      """

Feature: The required replicas fit the declared memory with one host lost

  Scenario Outline: Replicas are placed on the hosts that remain after the loss of one
    Given feasibility has the memory <memory> and the models <models>
    Then feasibility finds that "<model>" does not fit and reports "<text>"

    Examples: each model is NAME SIZE x REPLICAS @ REGIONS
      | memory       | models                                | model | text                   |
      | a 3 80       | m 40 x 2 @ a                          |       |                        |
      | a 3 80       | m 80 x 2 @ a                          |       |                        |
      | a 3 80       | m 20 x 3 @ a                          | m     | 2 hosts remain         |
      | a 3 80       | m 80 x 1 @ a; n 50 x 1 @ a; o 50 x 1 @ a | o  | 20.00GB are missing    |
      | a 1 80       | m 20 x 1 @ a                          | m     | 0 hosts remain         |
      | a 2 80; b 2 80 | m 50 x 2 @ a,b                      |       |                        |
      | a 2 80; b 2 80 | m 50 x 1 @ a,b; n 50 x 1 @ a        |       |                        |
      | a 2 80; b 2 80 | m 50 x 1 @ a; n 50 x 1 @ a          | n     | one host of a lost     |
      | a 2 80; b 2 40 | m 50 x 1 @ a,b; n 50 x 1 @ a,b      | n     | 10.00GB are missing    |
      | a 3 80       | m 75 x 2 @ a; n 3 x 2 @ a             |       |                        |
      | a 3 80       | m 10 x 2 @ a; n 20 x 1 @ a; o 40 x 2 @ a; p 20 x 1 @ a |   |      |
      | a 3 80; b 2 60 | m 10 x 1 @ a; n 50 x 1 @ a; o 80 x 1 @ a,b |   |                    |

  Scenario: Each replica needs space for the largest adapter of its model
    Given feasibility has the memory a 2 80 and the models m 79 x 1 @ a
    And feasibility has adapters of "m" with 1 and 2 GB
    Then feasibility finds that "m" does not fit and reports "1.00GB are missing"

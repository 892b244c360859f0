Feature: What is listed fits the memory with one host lost

  Scenario Outline: Replicas are laid out on the hosts that remain
    Given feasibility has the memory <memory> and the models <models>
    Then feasibility finds "<model>" without room and says "<text>"

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

  Scenario: The largest adapter of a model counts with each replica
    Given feasibility has the memory a 2 80 and the models m 79 x 1 @ a
    And feasibility has adapters of "m" with 1 and 2 GB
    Then feasibility finds "m" without room and says "1.00GB are missing"

Feature: A gateway remembers until when endpoints have requested backoff

  Scenario Outline: <case>
    When backofftable: "<events>" happens
    Then backofftable: the remaining times are "<delays>"

    Examples:
      | case | events | delays |
      | nothing is requested | 0 look | |
      | a time is kept | 0 e1 2; 1.5 look | e1=0.5 |
      | until it ends | 0 e1 2; 2 look | |
      | each endpoint has its own | 0 e1 2; 0 e2 3; 1 look | e1=1 e2=2 |
      | the latest end holds | 0 e1 2; 1 e1 2; 1 look | e1=2 |
      | an earlier end changes nothing | 0 e1 4; 1 e1 2; 1 look | e1=3 |
      | a time of 0 changes nothing | 0 e1 2; 1 e1 0; 1 look | e1=1 |
      | it can be requested again after its end | 0 e1 1; 2 e1 1; 2.5 look | e1=0.5 |
      | a clean-up forgets nothing that holds | 0 e1 2; 1 clean; 1 look | e1=1 |

  Scenario: What has ended takes no memory
    When backofftable: "0 e1 1; 0 e2 2; 2 clean" happens
    Then backofftable: it is empty

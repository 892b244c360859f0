Feature: A timer that moves when told calls each subscriber at its due times

  # NAME=SECONDS subscribes, -NAME ends that, +SECONDS moves on; a call is NAME@TIME.
  Scenario Outline: <case>
    Then timer that is told "<events>" calls "<calls>"

    Examples:
      | case                               | events             | calls               |
      | once a period, the first after one | a=2 +1 +1 +3       | a@2 a@4             |
      | in the order of the due times      | a=2 b=3 +6         | a@2 b@3 a@4 a@6 b@6 |
      | a later subscription replaces one  | a=2 +1 a=3 +4      | a@4                 |
      | an ended one is called no more     | a=2 b=2 +2 -a -c +2 | a@2 b@2 b@4        |

Feature: A manual timer calls each subscriber once per period

  # NAME=SECONDS subscribes with that period, -NAME unsubscribes and +SECONDS advances the time; a
  # call is NAME@TIME.
  Scenario Outline: <case>
    Then timer with events "<events>" calls "<calls>"

    Examples:
      | case                                                | events              | calls               |
      | once per period, the first after one                | a=2 +1 +1 +3        | a@2 a@4             |
      | in the order of time                                | a=2 b=3 +6          | a@2 b@3 a@4 a@6 b@6 |
      | a later subscription of a name replaces the earlier | a=2 +1 a=3 +4       | a@4                 |
      | an unsubscribed one is not called                   | a=2 b=2 +2 -a -c +2 | a@2 b@2 b@4         |

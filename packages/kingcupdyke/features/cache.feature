Feature: A gap in the cache events of an endpoint drops its prefixes

  Scenario Outline: Leading cached blocks are counted from the events received
    Given a cache index of 5 prefixes
    When the cache index receives <events>
    Then the cache index counts <blocks> of the blocks a b c at e1, with <gaps> gaps

    # An event is endpoint/incarnation/sequence, + for stored or - for evicted, and the prefix.
    Examples:
      | events                                                | blocks | gaps |
      | e1/x/7+a e1/x/8+b                                     | 2      | 0    |
      | e1/x/1+a e1/x/2+c                                     | 1      | 0    |
      | e1/x/1+b e1/x/2+c                                     | 0      | 0    |
      | e1/x/1+a e1/x/2-a                                     | 0      | 0    |
      | e1/x/1+a e1/x/3+b                                     | 0      | 1    |
      | e1/x/1+a e1/x/3+z e2/x/9+a                            | 0      | 1    |
      | e1/x/1+a e1/x/2+b e1/x/1-a                            | 2      | 0    |
      | e1/x/1+a e1/y/1+b                                     | 0      | 0    |
      | e1/x/1+b e1/y/1+a e1/x/2+b                            | 1      | 0    |
      | e2/x/1+a e1/x/1+a e2/x/3+b                            | 1      | 1    |
      | e1/x/1+a e1/x/2+b e1/x/3+c e2/x/1+d e2/x/2+e e2/x/3+f | 0      | 0    |
      | e1/x/1+a e1/x/2+b e1/x/3+c e2/x/1+d e2/x/2+e          | 3      | 0    |

  Scenario: The index is bounded, and endpoints that left use no memory
    Given a cache index of 5 prefixes
    Then the cache index keeps 5 of 1000 prefixes, none once endpoints are removed

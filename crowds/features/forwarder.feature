Feature: A forwarding gateway stays within its machine beside clients that do not behave

  # Guards against a process that ends, with the requests of all its clients, as some of them make it
  # hold more than its machine has, or leave it no time for the others.
  Scenario Outline: <count> clients, <case>, at <path> of the <listener> address
    Given crowds: a forwarding gateway with a limit of 120 MB and of 500 descriptors
    When crowds: <count> clients of the case "<case>" come to "<path>" at the <listener> address
    Then crowds: ordinary requests are answered beside the crowd, and after it has gone
    And crowds: the process holds at most 120 MB, and 300 sockets and pipes

    Examples: requests that are sent ahead, and their answers not read
      | case | count | listener | path |
      | ahead | 20 | front | /nothing/1 |
      | ahead | 20 | front | /v1/ready |
      | ahead | 20 | front | /read/1 |
      | ahead | 20 | ready | /v1/ready |
      | ahead | 20 | metrics | /metrics |
      | ahead | 20 | metrics | /nothing |
      | expecting | 20 | front | /nothing/1 |
      | expecting | 20 | ready | /v1/ready |

    Examples: bodies
      | case | count | listener | path |
      | whole | 60 | front | /read/1 |
      | short | 250 | front | /read/1 |
      | chunks | 250 | front | /read/1 |
      | bytechunks | 20 | front | /read/1 |
      | pairchunks | 20 | front | /read/1 |
      | extensions | 20 | front | /read/1 |
      | drips | 60 | front | /read/1 |
      | short | 60 | front | /nothing/1 |
      | short | 60 | ready | /v1/ready |
      | chunks | 60 | metrics | /metrics |

    Examples: requests that are rejected
      | case | count | listener | path |
      | oversized | 60 | front | /read/1 |
      | malformed | 60 | front | /read/1 |
      | oversized | 60 | ready | /v1/ready |
      | malformed | 60 | metrics | /metrics |

    Examples: connections
      | case | count | listener | path |
      | silent | 600 | front | / |
      | onebyte | 600 | front | / |
      | heads | 600 | front | /read/1 |
      | headonly | 600 | front | /read/1 |
      | silent | 600 | ready | / |
      | heads | 600 | ready | /v1/ready |
      | silent | 600 | metrics | / |

    Examples: the port between gateways
      | case | count | listener | path |
      | datagrams | 4 | peers | / |

  # Guards against a planned stop that waits for clients that never end their requests.
  Scenario Outline: A planned stop beside <count> clients, <case>
    Given crowds: a forwarding gateway with a limit of 120 MB and of 500 descriptors
    When crowds: <count> clients of the case "<case>" come to "<path>" at the front address
    Then crowds: a planned stop ends the process by itself

    Examples:
      | case | count | path |
      | drips | 60 | /read/1 |
      | ahead | 20 | /nothing/1 |
      | bytechunks | 20 | /read/1 |

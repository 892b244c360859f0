Feature: The daemons of the product's own deployment stay within their machine beside such clients

  # Guards against a process that ends, with the requests of all its callers, as some of them make it
  # hold more than its machine has, or leave it no time for the others.
  Scenario Outline: <program>: <count> clients, <case>, at <path> of the <listener> address
    Given crowds: a <program> of the product's own deployment
    When crowds: <count> clients of the case "<case>" come to "<path>" at the <listener> address
    Then crowds: ordinary requests are answered beside the crowd, and after it has gone
    And crowds: the process holds at most 200 MB, and 1200 sockets and pipes

    Examples: the gateway's front and admin address
      | program | case | count | listener | path |
      | gateway | ahead | 20 | listening | /nothing |
      | gateway | ahead | 20 | listening | /readyz |
      | gateway | ahead | 20 | listening | /metrics |
      | gateway | ahead | 20 | listening | /admin/status |
      | gateway | whole | 60 | listening | /services/bookings/1 |
      | gateway | short | 60 | listening | /services/bookings/1 |
      | gateway | chunks | 60 | listening | /services/bookings/1 |
      | gateway | bytechunks | 20 | listening | /services/bookings/1 |
      | gateway | pairchunks | 20 | listening | /services/bookings/1 |
      | gateway | drips | 60 | listening | /services/bookings/1 |
      | gateway | short | 60 | listening | /admin/status |
      | gateway | oversized | 60 | listening | /services/bookings/1 |
      | gateway | malformed | 60 | listening | /services/bookings/1 |
      | gateway | silent | 1500 | listening | / |
      | gateway | heads | 1500 | listening | / |

    Examples: the sidecar's status address
      | program | case | count | listener | path |
      | sidecar | ahead | 20 | http | /metrics |
      | sidecar | short | 60 | http | /healthz |
      | sidecar | bytechunks | 20 | http | /healthz |
      | sidecar | silent | 1500 | http | / |

    Examples: the ports between hosts
      | program | case | count | listener | path |
      | gateway | malformed | 60 | peers | / |
      | gateway | silent | 1500 | peers | / |
      | sidecar | silent | 1500 | listening | / |
      | gateway | pings | 20 | peers | / |
      | sidecar | pings | 20 | listening | / |
      | gateway | messages | 10 | peers | /kingcupdyke.v1.Peer/Push |
      | sidecar | messages | 10 | listening | /kingcupdyke.v1.Sidecar/Run |

Feature: The host list shows changes after its lag

  Scenario Outline: A change is listed after the lag
    When hostlist with a lag of <lag> s reads <delay> s after the host "s1" was <change>
    Then hostlist has read "<hosts>"

    Examples:
      | lag  | delay | change         | hosts      |
      | 0    | 0     | listed         | s1 live    |
      | 0.05 | 0     | listed         |            |
      | 0.05 | 0.06  | listed         | s1 live    |
      | 0    | 0     | listed leaving | s1 leaving |
      | 0    | 0     | deleted        |            |

  Scenario Outline: An entry of another writer makes only itself unreadable: <entry>
    When hostlist reads the entry <entry> among others
    Then hostlist has read "s1 live"

    Examples:
      | entry |
      | nested |
      | digits |
      | null |
      | {} |
      | {"host":"s2","address":"a","port":0,"kind":"sidecar","region":"r","data_centre":"d","state":"live"} |
      | {"host":"s2","address":"a","port":70000,"kind":"sidecar","region":"r","data_centre":"d","state":"live"} |
      | {"host":"s2","address":"a","port":"80","kind":"sidecar","region":"r","data_centre":"d","state":"live"} |
      | {"host":"s2","address":7,"port":80,"kind":"sidecar","region":"r","data_centre":"d","state":"live"} |
      | {"host":"s2","address":"a","port":80,"kind":"sidecar","region":"r","data_centre":"d","state":"live","peer_port":1e9} |

  Scenario: A field that is unknown is ignored
    When hostlist reads an entry with a field that is unknown
    Then hostlist has read "s1 live"

  Scenario: An answer with an unexpected format is a failure
    When hostlist reads an entry without its fields
    Then hostlist has failed at step "configure"

Feature: The engine client reports orders, answers, streams and state of an engine correctly

  Scenario Outline: The inventory shows the effect of executed orders
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine receives the orders "<orders>"
    Then engine has answered "<answers>"
    And engine has <used> GB in use, the models "<models>" and the adapters "<adapters>"

    Examples: orders as KIND:NAME:GB
      | orders                          | answers          | used | models | adapters |
      | load:n:3                        | done             | 5    | m n    |          |
      | load:n:3 unload:n:0             | done done        | 2    | m      |          |
      | load_adapter:a:1                | done             | 3    | m      | a        |
      | load_adapter:a:1 unload_adapter:a:0 | done done    | 2    | m      |          |
      | role:prefill:4                  | done             | 6    | m      |          |
      | role:prefill:4 role:decode:1    | done done        | 3    | m      |          |
      | load:n:9                        | failed           | 2    | m      |          |
      | load:n:8                        | done             | 10   | m n    |          |

  Scenario: A duplicate order gets the first answer and is not executed again
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine receives the order to load "n" again after it was unloaded
    Then engine has answered "done done done"
    And engine has 2 GB in use, the models "m" and the adapters ""

  Scenario Outline: The outcome of a failed order is reported correctly
    Given an engine of 10 GB that holds "m" of 2 GB
    And the engine has the faults <faults>
    When engine receives an order of 3 GB with the fences <fences> and a lifetime of 0.4 s
    Then engine has returned the outcomes "<outcomes>" and executed the order <runs> times

    Examples:
      | faults                     | fences | outcomes             | runs |
      | {}                         | 1      | done                 | 1    |
      | {}                         | 1 1    | done done            | 1    |
      | {"lose_orders": 1}         | 1      | unknown              | 0    |
      | {"lose_orders": 1}         | 1 1    | unknown done         | 1    |
      | {"late_answers_ms": 600}   | 1      | unknown              | 1    |
      | {"late_answers_ms": 600}   | 1 1    | unknown unknown      | 1    |
      | {"delay_orders_ms": 480}   | 1      | unknown              | 0    |
      | {"delay_orders_ms": 30}    | 1      | done                 | 1    |

  Scenario Outline: An engine that checks fencing numbers rejects a lower one
    Given an engine of 10 GB that holds "m" of 2 GB and <checks> fences
    When engine receives the orders of two sidecars with the fences 5 and 4
    Then engine has returned "<outcome>" for the second and recorded <recorded> old fences

    Examples:
      | checks  | outcome           | recorded |
      | checks  | not_run old fence | 0        |
      | ignores | done              | 1        |

  Scenario Outline: An answer is complete and names its request
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine runs a <form> request for 4 tokens, <mode>
    Then engine has returned the complete answer with its id, text and usage

    Examples:
      | form | mode         |
      | chat | not streamed |
      | chat | streamed     |
      | text | not streamed |
      | text | streamed     |

  Scenario Outline: A stream is resumed at a given event
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine resumes a stream of 4 tokens at event <offset>
    Then engine has returned the events from <offset> on

    Examples:
      | offset |
      | 0      |
      | 3      |
      | 4      |

  Scenario Outline: A faulty answer can be distinguished from a complete one
    Given an engine of 10 GB that holds "m" of 2 GB
    And the engine has the faults <faults>
    When engine runs a text request for 6 tokens, <mode>
    Then engine's answer is <state>

    Examples:
      | faults                   | mode         | state                |
      | {"truncate": 1}          | streamed     | without its end      |
      | {"truncate": 1}          | not streamed | failed               |
      | {"cross_answers": 1}     | streamed     | of another request   |
      | {"cross_answers": 1}     | not streamed | of another request   |
      | {"double": 1}            | streamed     | longer than complete |
      | {"late_answers_ms": 400} | streamed     | failed               |
      | {"late_answers_ms": 400} | not streamed | failed               |

  Scenario Outline: An interrupted stream fails without its final event
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine streams 100 tokens and after the first one <event>
    Then engine's stream has failed as "unknown", and resuming it returns "<resumed>"

    Examples:
      | event                           | resumed             |
      | its connections are frozen      | the complete answer |
      | the request is cancelled        | failed              |
      | the engine restarts             | 404                 |
      | the engine restarts and reloads | 404                 |

  Scenario Outline: A model or adapter that is not resident is not found
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine runs a request for the model "<model>" with the adapter "<adapter>"
    Then engine has returned "not found"

    Examples:
      | model | adapter |
      | n     |         |
      | m     | a       |

  Scenario Outline: A KV cache is moved only if there is memory for it
    Given an engine of 10 GB that holds "m" of 2 GB
    And the engine has the faults <faults>
    When engine moves the KV cache of a request with <free> bytes free
    Then engine has moved it: <moved>

    Examples: a prompt of 300 characters takes 300000 bytes
      | faults          | free   | moved |
      | {}              | 300000 | yes   |
      | {}              | 299999 | no    |
      | {"fail_kv": 1}  | 300000 | no    |
      | {"fail_kv": 2}  | 300000 | no    |

  Scenario Outline: Cache events arrive in order, with gaps and after a lag
    Given an engine of 10 GB that holds "m" of 2 GB and caches 2 blocks
    And the engine has the faults <faults>
    When engine runs a prompt of 3 blocks and reads the cache events after <position>
    Then engine has reported the cache events "<events>"

    Examples:
      | faults                  | position | events      |
      | {}                      | 0        | +1 +2 +3 -4 |
      | {}                      | 2        | +3 -4       |
      | {}                      | 4        |             |
      | {"cache_gap_every": 2}  | 0        | +1 +3       |
      | {"cache_lag_ms": 5000}  | 0        |             |

  Scenario Outline: The load report may be stale
    Given an engine of 10 GB that holds "m" of 2 GB
    And the engine has the faults <faults>
    When engine runs 3 requests and reads the load after 0.1 s
    Then engine reports <running> running and an age of at least <age> s

    Examples:
      | faults                | running | age |
      | {}                    | 3       | 0   |
      | {"load_lag_ms": 5000} | 0       | 0.1 |

Feature: The engine client keeps the contract of model engines

  Scenario Outline: An order that is done shows in the inventory
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine gives the orders "<orders>"
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

  Scenario: A repeated order is answered as before and not carried out again
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine repeats the order to load "n" after it was unloaded
    Then engine has answered "done done done"
    And engine has 2 GB in use, the models "m" and the adapters ""

  Scenario Outline: What went wrong with an order is told truly
    Given an engine of 10 GB that holds "m" of 2 GB
    And the engine has the faults <faults>
    When engine gives an order of 3 GB with the fences <fences> and a lifetime of 0.4 s
    Then engine has ended "<outcomes>" in turn and the order ran <runs> times

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

  Scenario Outline: An old fencing number is refused where the engine checks it
    Given an engine of 10 GB that holds "m" of 2 GB and <checks> fences
    When engine gives the orders of two sidecars with the fences 5 and 4
    Then engine has ended the second "<outcome>" and noted <noted> old fences

    Examples:
      | checks  | outcome           | noted |
      | checks  | not_run old fence | 0     |
      | ignores | done              | 1     |

  Scenario Outline: An answer is whole, its own, and says so
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine runs a <form> request for 4 tokens, <way>
    Then engine has answered it whole with its id, its text and its usage

    Examples:
      | form | way      |
      | chat | whole    |
      | chat | streamed |
      | text | whole    |
      | text | streamed |

  Scenario Outline: A stream is taken up where it broke off
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine takes a stream of 4 tokens up at event <offset>
    Then engine has read its events from <offset> on

    Examples:
      | offset |
      | 0      |
      | 3      |
      | 4      |

  Scenario Outline: A broken answer can be told from a whole one
    Given an engine of 10 GB that holds "m" of 2 GB
    And the engine has the faults <faults>
    When engine runs a text request for 6 tokens, <way>
    Then engine shows the answer to be <broken>

    Examples:
      | faults                | way      | broken             |
      | {"truncate": 1}       | streamed | without its end    |
      | {"truncate": 1}       | whole    | failed             |
      | {"cross_answers": 1}  | streamed | that of another id |
      | {"cross_answers": 1}  | whole    | that of another id |
      | {"double": 1}         | streamed | longer than whole  |
      | {"late_answers_ms": 400} | streamed | failed          |
      | {"late_answers_ms": 400} | whole    | failed          |

  Scenario Outline: A request that was running ends without an end mark
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine streams 100 tokens and after the first one <event>
    Then engine has failed the stream as "unknown", and taking it up gives "<resumed>"

    Examples:
      | event                           | resumed          |
      | its connections are frozen      | the whole answer |
      | the request is cancelled        | failed           |
      | the engine restarts             | 404              |
      | the engine restarts and reloads | 404              |

  Scenario Outline: A model or adapter that is not resident is not found
    Given an engine of 10 GB that holds "m" of 2 GB
    When engine asks the model "<model>" with the adapter "<adapter>"
    Then engine has found nothing

    Examples:
      | model | adapter |
      | n     |         |
      | m     | a       |

  Scenario Outline: KV cache moves where there is memory for it
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

  Scenario Outline: Cache events come in order, late and with gaps
    Given an engine of 10 GB that holds "m" of 2 GB and caches 2 blocks
    And the engine has the faults <faults>
    When engine runs a prompt of 3 blocks and reads the cache events after <position>
    Then engine has seen the cache events "<events>"

    Examples:
      | faults                  | position | events      |
      | {}                      | 0        | +1 +2 +3 -4 |
      | {}                      | 2        | +3 -4       |
      | {}                      | 4        |             |
      | {"cache_gap_every": 2}  | 0        | +1 +3       |
      | {"cache_lag_ms": 5000}  | 0        |             |

  Scenario Outline: The load report lags
    Given an engine of 10 GB that holds "m" of 2 GB
    And the engine has the faults <faults>
    When engine runs 3 requests and reads the load after 0.1 s
    Then engine reports <running> running and an age of at least <age> s

    Examples:
      | faults                | running | age |
      | {}                    | 3       | 0   |
      | {"load_lag_ms": 5000} | 0       | 0.1 |

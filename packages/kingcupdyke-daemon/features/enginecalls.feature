# Guards against one engine whose answers to the planner end a gateway by their size.
Feature: Faulty answers of one engine to the planner leave the gateway and the other engines alone

  Scenario Outline: <case>
    When enginecalls: of two engines one answers to "<method>" with <bytes> bytes of "<unit>", <framing>
    Then enginecalls: at most <memory> MB have been used, and nothing is held
    And enginecalls: the sound engine gets an order
    And enginecalls: the faulty one is asked for its report at most <reports> times, and counted as "<fault>"

    Examples:
      | case | method | bytes | unit | framing | memory | reports | fault |
      | A long report of empty objects | GET | 16500000 | {}, | sized | 6 | 4 | answer too long |
      | A long report without a length | GET | 16500000 | {}, | unframed | 6 | 4 | answer too long |
      | A short report that is large once decoded | GET | 200000 | [], | sized | 4 | 4 | too large once decoded |
      | The same without a length | GET | 200000 | [], | unframed | 4 | 4 | too large once decoded |
      | A report that is no JSON | GET | 1000 | {{, | sized | 4 | 4 | unexpected format |
      | A long answer to an order | POST | 16500000 | {}, | sized | 6 | 9 | answer too long |

  Scenario: Reports of many engines that drip hold what they may at most
    When enginecalls: 12 engines drip reports of 250000 bytes, with a memory limit of 16 MB
    Then enginecalls: at most 1000000 bytes are held, and some are refused as "memory used up"

# Guards against processes that exceed their memory by an answer that they read outside a request.
Feature: An answer that is read whole has a limit in bytes, in what decoding it takes, and in time

  Scenario Outline: Decoding takes no more memory than is estimated: <case>
    Then answerlimit: decoding <size> bytes of "<unit>" takes no more than is estimated, and at least an eighth of it

    Examples:
      | case | unit | size |
      | empty objects | {}, | 300000 |
      | empty lists | [], | 300000 |
      | nested lists | [[[]]], | 300000 |
      | lists in great depth | deep list | 300000 |
      | objects in great depth | deep object | 300000 |
      | objects with one field | {"":{}}, | 300000 |
      | lists with one number | [1], | 300000 |
      | small integers | -9, | 300000 |
      | short texts | "ab", | 300000 |
      | short texts of wide characters | "\N{GRINNING FACE}", | 300000 |
      | one text with a wide character | text | 300000 |
      | one text of characters in three bytes | cjk text | 300000 |
      | one text with an escaped wide character | escaped text | 300000 |
      | objects with many names | names | 300000 |

  Scenario Outline: <call> ends with a typed failure: <case>
    When answerlimit: a server answers to <call> with <bytes> bytes of "<unit>", <framing>
    Then answerlimit: the call fails with "<fault>"
    And answerlimit: at most <memory> MB have been used

    Examples: Answers that are too long
      | call | case | bytes | unit | framing | fault | memory |
      | a list of the store | empty objects | 16500000 | {}, | with a length | answer too long | 4 |
      | a watch of the store | empty objects | 16500000 | {}, | in chunks | answer too long | 30 |
      | a get of the store | empty objects | 16500000 | {}, | with a length | answer too long | 4 |
      | a list of hosts | nested lists | 16500000 | [[]], | in chunks | answer too long | 16 |
      | an order to an engine | empty objects | 16500000 | {}, | in chunks | answer too long | 4 |
      | a question for an engine's inventory | empty objects | 16500000 | {}, | in chunks | answer too long | 4 |
      | a question for an engine's load | empty objects | 16500000 | {}, | to the end of its connection | answer too long | 4 |
      | a question for a KV cache | empty objects | 17500000 | {}, | in chunks | answer too long | 60 |
      | a question for cache events | empty objects | 16500000 | {}, | in chunks | answer too long | 30 |

    Examples: Answers that are too large once they are decoded
      | call | case | bytes | unit | framing | fault | memory |
      | a list of the store | empty lists | 4000000 | [], | with a length | too large once decoded | 30 |
      | a watch of the store | empty lists | 4000000 | [], | in chunks | too large once decoded | 30 |
      | a list of hosts | empty lists | 3000000 | [], | in chunks | too large once decoded | 20 |
      | a question for an engine's inventory | empty objects | 200000 | {}, | with a length | too large once decoded | 4 |
      | a question for an engine's load | empty objects | 200000 | {}, | to the end of its connection | too large once decoded | 4 |
      | a question for a KV cache | empty lists | 6000000 | [], | with a length | too large once decoded | 30 |
      | a question for cache events | empty lists | 6000000 | [], | in chunks | too large once decoded | 30 |
      | a whole answer | empty lists | 8000000 | [], | to the end of its connection | too large once decoded | 40 |

  Scenario Outline: What one writer may leave in the store is read, whatever its shape: <unit>
    When answerlimit: a server answers to a list of the store with 1000000 bytes of "<unit>", with a length
    Then answerlimit: the call fails with "unexpected format"
    And answerlimit: at most 64 MB have been used

    Examples:
      | unit |
      | {}, |
      | {"":{}}, |
      | deep list |

  Scenario Outline: What decoding the store's answers may take follows the memory of the process: <memory>
    Then answerlimit: with a memory limit of <memory> bytes, decoding an answer of the store may take <decoded> bytes

    Examples:
      | memory | decoded |
      | 160000000 | 53333333 |
      | 300000000 | 100000000 |
      | 552000000 | 100663296 |

  Scenario Outline: An answer that drips ends at the timeout of its call: <framing>
    When answerlimit: a server answers to a list of the store with a byte every 0.02 s, <framing>
    Then answerlimit: the call fails without a fault after 0.5 to 0.8 s

    Examples:
      | framing |
      | with a length |
      | in chunks |
      | to the end of its connection |

# Guards against a client that gets an answer with a status that HTTP does not have, such as 000 or 999.
Feature: An answer with a status that is none is no answer

  Scenario Outline: One endpoint answers <request> with status <status><mark>
    When badstatus: "<request>" goes to an endpoint that answers "<status>"<mark>, and then to a sound one
    Then badstatus: the answer is "<answer>", and the fault counted is "<fault>"
    And badstatus: the sound endpoint has got <sent> requests

    Examples:
      | request | status | mark | answer | fault | sent |
      | GET /safe/1 | 000 | | 200 e2 | malformed | 1 |
      | GET /safe/1 | 099 | | 200 e2 | malformed | 1 |
      | GET /safe/1 | 99 | | 200 e2 | malformed | 1 |
      | GET /safe/1 | 2000 | | 200 e2 | malformed | 1 |
      | GET /safe/1 | 600 | | 200 e2 | invalid status | 1 |
      | GET /safe/1 | 999 | | 200 e2 | invalid status | 1 |
      | POST /once/1 | 000 | | 502 | malformed | 0 |
      | POST /once/1 | 600 | | 502 | invalid status | 0 |
      | POST /once/1 | 999 | | 502 | invalid status | 0 |
      | POST /once/1 | 000 | with a mark that it has not run | 502 | malformed | 0 |
      | POST /once/1 | 600 | with a mark that it has not run | 502 | invalid status | 0 |
      | POST /once/1 | 600 | with the id of another attempt | 502 | invalid status | 0 |
      | GET /safe/1 | 600 | with the id of another attempt | 200 e2 | invalid status | 1 |
      | GET /resume/1 | 600 | | 200 events 1,2,3,4 | invalid status | 1 |

  Scenario Outline: All endpoints answer with status <status>
    When badstatus: "<request>" goes to endpoints that all answer "<status>"
    Then badstatus: the status of the answer is 502

    Examples:
      | request | status |
      | GET /safe/1 | 000 |
      | GET /safe/1 | 600 |
      | GET /safe/1 | 999 |
      | POST /once/1 | 999 |
      | GET /stream/1 | 600 |

  Scenario Outline: A stream that breaks off is not taken up with status <status>
    When badstatus: a stream breaks off, and the endpoint that takes it up answers "<status>"
    Then badstatus: the stream ends as broken off

    Examples:
      | status |
      | 000 |
      | 600 |

  Scenario Outline: Statuses that HTTP has are passed on: <status>
    When badstatus: "GET /safe/1" goes to endpoints that all answer "<status>"
    Then badstatus: the status of the answer is <status>

    Examples:
      | status |
      | 200 |
      | 299 |
      | 404 |
      | 500 |
      | 599 |

  Scenario Outline: A reply can't be asked to send the status <status>
    When badstatus: a handler answers with the status <status>
    Then badstatus: the status of the answer is 500

    Examples:
      | status |
      | 0 |
      | 99 |
      | 199 |
      | 600 |
      | 999 |

  Scenario Outline: A planner takes the status <status> for no answer to its <call>
    When badstatus: an engine answers "<status>" to a planner's "<method>" call
    Then badstatus: it is counted as "<fault>", and another engine gets an order

    Examples:
      | call | method | status | fault |
      | question for a report | GET | 600 | invalid status |
      | question for a report | GET | 999 | invalid status |
      | order | POST | 600 | invalid status |

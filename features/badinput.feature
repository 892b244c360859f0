@site
Feature: Invalid input on a port is rejected with a clear error and affects no other request

  Scenario Outline: A connection with invalid or incomplete input is closed
    When <what> is written to the <port> port of <host>
    Then the port answers with <answer> and the connection is closed within 18 s
    And every gateway and sidecar still runs

    Examples:
      | what                    | port      | host     | answer  |
      | garbage                 | listening | model-n1 | nothing |
      | an HTTP/1.1 request     | listening | model-n1 | nothing |
      | an oversized frame      | listening | model-n1 | nothing |
      | a partial preface       | listening | model-n1 | nothing |
      | garbage                 | peers     | entry-n1 | nothing |
      | an oversized frame      | peers     | entry-n1 | nothing |
      | a partial preface       | peers     | entry-n1 | nothing |
      | garbage                 | listening | entry-n1 | 400     |
      | partial headers         | listening | entry-n1 | nothing |
      | a body that stalls      | listening | entry-n1 | 408     |
      | a partial request       | listening | entry-n1 | 200     |
      | partial headers         | http      | model-n1 | nothing |

  Scenario Outline: A call with an invalid message ends with the matching gRPC status
    When <method> is called with <what> at the <port> port of <host>
    Then the call ends within 5 s with status <status>
    And every gateway and sidecar still runs

    Examples:
      | method       | what                 | port      | host     | status             |
      | Sidecar/Run  | invalid bytes        | listening | model-n1 | INVALID_ARGUMENT   |
      | Sidecar/Beat | invalid bytes        | listening | model-n1 | INVALID_ARGUMENT   |
      | Sidecar/Run  | a truncated message  | listening | model-n1 | INVALID_ARGUMENT   |
      | Sidecar/Run  | an oversized message | listening | model-n1 | RESOURCE_EXHAUSTED |
      | Sidecar/Run  | a compressed message | listening | model-n1 | UNIMPLEMENTED      |
      | Sidecar/None | nothing              | listening | model-n1 | UNKNOWN            |
      | Peer/Push    | invalid bytes        | peers     | entry-n1 | INVALID_ARGUMENT   |
      | Peer/Push    | an oversized message | peers     | entry-n1 | RESOURCE_EXHAUSTED |

  Scenario Outline: A message with an invalid field is rejected
    When <method> is called with <field> set to <value> at <host>
    Then it is rejected as not run with a reason that contains "<reason>"
    And every gateway and sidecar still runs

    Examples:
      | method | field           | value       | host     | reason              |
      | Run    | attempt_id      | ""          | model-n1 | attempt_id          |
      | Run    | attempt_id      | "x" * 300   | model-n1 | attempt_id          |
      | Run    | request_id      | ""          | model-n1 | request_id          |
      | Run    | service_class   | "gold"      | model-n1 | service_class       |
      | Run    | target          | ""          | model-n1 | target              |
      | Run    | deadline_ms     | 0           | model-n1 | deadline            |
      | Run    | deadline_ms     | 4294967295  | model-n1 | deadline_ms         |
      | Run    | method          | "G T"       | app-n1   | method              |
      | Run    | path            | "/a b\r\nc" | app-n1   | path                |
      | Run    | path            | "/\u0161"   | app-n1   | path                |
      | Run    | path            | ""          | model-n1 | path                |
      | Run    | content_type    | "a\r\nb: c" | app-n1   | content_type        |
      | Run    | idempotency_key | "a\nb"      | app-n1   | idempotency_key     |
      | Run    | adapter         | "chat-club" | app-n1   | adapter             |
      | Order  | kind            | "melt"      | model-n1 | no order of kind    |
      | Order  | order_id        | ""          | model-n1 | order_id            |
      | Order  | model           | ""          | model-n1 | model               |
      | Order  | bytes           | 2 ** 64 - 1 | model-n1 | do not fit          |

  Scenario: An unknown field in a message is ignored
    When Run is called with an unknown field at model-n1
    Then it is answered with status 200

  Scenario: Requests end when their caller disconnects in the middle of a stream
    When a caller disconnects in the middle of a stream of chat-7b at entry-n1
    Then no request is in flight any more within 5 s
    And every gateway and sidecar still runs
    And no stand-in recorded a violation

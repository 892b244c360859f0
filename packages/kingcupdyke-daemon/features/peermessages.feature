Feature: A message between gateways costs its receiver one decoding, whatever its kind

  # Guards against kinds of messages that each make all others dearer.
  Scenario Outline: A datagram is decompressed and parsed once: <kind>
    When peermessages: a gateway receives a message of the kind "<kind>"
    Then peermessages: it has been decompressed 1 time, parsed 1 time and processed

    Examples:
      | kind |
      | GatewayState |
      | StoreRelay |
      | StoreChanges |
      | OriginMessage |
      | PinnedDemandMessage |
      | CrashMessage |
      | LimitMessage |
      | LeavingMessage |
      | QuotaAsk |
      | QuotaGrant |
      | QuotaClaim |
      | QuotaVote |
      | PaceMessage |

  Scenario: All kinds have a receiver in a gateway
    Then peermessages: a forwarding gateway has a receiver for each kind

  # Guards against a log that a peer of another build can fill.
  Scenario Outline: Datagrams that are not understood are dropped, counted and logged once a second: <case>
    When peermessages: a gateway receives <count> datagrams "<data>"
    Then peermessages: <count> are counted as "<reason>", decompressed <decompressed> times and logged once

    Examples:
      | case | count | data | reason | decompressed |
      | an unknown kind | 50 | ff4b04 | unknown kind | 0 |
      | nothing | 50 | | unknown kind | 0 |
      | the number of a kind, and text | 50 | 01666f6f | invalid | 50 |

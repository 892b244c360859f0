"""
kingcupdyke.intent
~~~~~~~~~~~~~~~~~~

Records of orders that may still reach an engine, written to the store before each order.
"""

import json
from collections.abc import Iterable
from typing import NamedTuple

from kingcupdyke.error import OptionError

__all__ = ["MAX_VALUE_BYTES", "Intent", "decode_intents", "encode_intents", "may_send"]

#: Largest value that the platform's store takes.
MAX_VALUE_BYTES = 1_000_000


class Intent(NamedTuple):
    """An order that its sender is about to send."""

    order_id: str
    kind: str
    model: str
    adapter: str
    order_bytes: int
    #: Fencing number of the sidecar that sends the order.
    fence: int
    #: Wall clock of the endpoint's host when the intent was recorded.
    sent_unix_s: float
    #: Seconds after which the engine drops the order.
    lifetime_s: float


def may_send(intent: Intent, now_unix_s: float) -> bool:
    """Tell whether an order may still leave after its intent was recorded.

    A sender that was paused in between must not send: its successor may have counted on the
    order's end.

    :param now_unix_s: wall clock of the endpoint's host, read just before sending
    :return: False when the lifetime is over or the clock went back
    """
    return 0 <= now_unix_s - intent.sent_unix_s < intent.lifetime_s


def encode_intents(intents: Iterable[Intent]) -> bytes:
    """:return: the intents as JSON
    :raises OptionError: when they take more than one object of the store holds
    """
    value = json.dumps([intent._asdict() for intent in intents], separators=(",", ":")).encode()
    if len(value) > MAX_VALUE_BYTES:
        raise OptionError("intents", len(value), f"keep below {MAX_VALUE_BYTES} bytes")
    return value


def decode_intents(value: bytes) -> tuple[Intent, ...]:
    """:return: the intents
    :raises OptionError: when the value is no list of intents
    """
    try:
        return tuple(Intent(**fields) for fields in json.loads(value))
    except (ValueError, TypeError) as error:
        raise OptionError("intents", value[:100], "give a JSON list of intents") from error

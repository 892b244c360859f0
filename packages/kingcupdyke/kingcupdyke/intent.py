"""
kingcupdyke.intent
~~~~~~~~~~~~~~~~~~

Records of orders that may still reach an engine, stored before each order is sent.
"""

import json
from collections.abc import Iterable
from typing import NamedTuple

from kingcupdyke.error import DECODE_ERRORS, OptionError

__all__ = ["MAX_VALUE_BYTES", "Intent", "decode_intents", "encode_intents", "may_send"]

#: Maximum size of an object of the platform's store.
MAX_VALUE_BYTES = 1_000_000


class Intent(NamedTuple):
    """An order that a sidecar is about to send."""

    order_id: str
    kind: str
    model: str
    adapter: str
    order_bytes: int
    #: Fencing number of the sidecar that sends the order.
    fence: int
    #: Wall clock time at which the intent was recorded, of the endpoint's host.
    sent_unix_s: float
    #: Seconds after which the engine drops the order.
    lifetime_s: float


def may_send(intent: Intent, now_unix_s: float) -> bool:
    """Check whether an order may still be sent after its intent was recorded.

    A sender that was paused for longer than the lifetime must not send: its successor may have
    assumed that the order has expired.

    :param now_unix_s: wall clock time of the endpoint's host, read just before sending
    :return: False when the lifetime is over or the clock was set back
    """
    return 0 <= now_unix_s - intent.sent_unix_s < intent.lifetime_s


def encode_intents(intents: Iterable[Intent]) -> bytes:
    """:return: the intents as JSON
    :raises OptionError: when they are larger than an object of the store may be
    """
    value = json.dumps([intent._asdict() for intent in intents], separators=(",", ":")).encode()
    if len(value) > MAX_VALUE_BYTES:
        raise OptionError("intents", len(value), f"keep below {MAX_VALUE_BYTES} bytes")
    return value


def decode_intents(value: bytes) -> tuple[Intent, ...]:
    """:return: the intents
    :raises OptionError: when the value is not a list of intents
    """
    try:
        return tuple(Intent(**fields) for fields in json.loads(value))
    except DECODE_ERRORS as error:
        raise OptionError("intents", value[:100], "give a JSON list of intents") from error

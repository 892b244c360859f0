"""
kingcupdyke.forwarding.peermessage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The format of datagrams between gateways: one byte for the kind of the message, then its fields as
compressed JSON.
"""

import json
from collections.abc import Callable
from enum import IntEnum, unique
from math import isfinite
from typing import ClassVar, Protocol, TypeVar
from zlib import compress, decompressobj
from zlib import error as zlib_error

from expression import Error, Ok, Result

from kingcupdyke.error import DECODE_ERRORS, Failure, Outcome, Step

__all__ = [
    "MAX_MESSAGE_BYTES",
    "MessageKind",
    "PeerMessage",
    "decode_message",
    "pack_message",
    "read_kind",
]

#: Value of zlib's ``wbits`` for a deflate stream without a header.
RAW_DEFLATE = -15
#: Limit of a message's size in bytes after decompression.
MAX_MESSAGE_BYTES = 1_000_000
#: Raised when a message is decoded that is not valid.
MESSAGE_ERRORS = (*DECODE_ERRORS, zlib_error)


@unique
class MessageKind(IntEnum):
    """The first byte of a datagram. A number must not be used again for another kind."""

    STATE = 1
    STORE_RELAY = 2
    STORE_CHANGES = 3
    STREAM_ORIGINS = 4
    PINNED_DEMAND = 5
    CRASHES = 6
    LIMITS = 7
    LEAVING = 8
    QUOTA_ASK = 9
    QUOTA_GRANT = 10
    QUOTA_CLAIM = 11
    QUOTA_VOTE = 12
    PACE = 13


class PeerMessage(Protocol):
    """A class of messages between gateways."""

    message_kind: ClassVar[MessageKind]

    def encode(self) -> bytes:
        """:return: the message as a datagram"""

    @classmethod
    def decode(cls, value: bytes) -> Result["PeerMessage", Failure]:
        """:return: the message, or a failure if the datagram is no valid message of this class"""


Message = TypeVar("Message")


def read_kind(data: bytes) -> MessageKind | None:
    """:return: the kind of the message in a datagram, or None if it is unknown"""
    return _KIND_BY_NUMBER.get(data[0]) if data else None


def pack_message(kind: MessageKind, fields: object) -> bytes:
    """:return: a message as a datagram"""
    text = json.dumps(fields, separators=(",", ":"))
    return _PREFIX_BY_KIND[kind] + compress(text.encode(), wbits=RAW_DEFLATE)


def decode_message(
    kind: MessageKind, data: bytes, make: Callable[[object], Message]
) -> Result[Message, Failure]:
    """Decode a datagram; only one of the expected kind is decompressed.

    :param make: makes the message from its fields; may raise one of MESSAGE_ERRORS
    :return: the message, or a failure if the datagram is no valid message of the kind
    """
    try:
        return Ok(make(_unpack(kind, data)))
    except MESSAGE_ERRORS as error:
        reason = f"invalid {kind.name.lower()} message: {error!r}"
        return Error(Failure(Outcome.FAILED, Step.PARSE, "", reason))


def _unpack(kind: MessageKind, data: bytes) -> object:
    """:return: the fields of a message

    :raises ValueError: if the message is of another kind, truncated, too long, no JSON, or has a
        number that is not finite
    """
    if read_kind(data) is not kind:
        raise ValueError(f"kind {data[:1].hex() or 'missing'}")
    inflater = decompressobj(RAW_DEFLATE)
    text = inflater.decompress(memoryview(data)[1:], MAX_MESSAGE_BYTES)
    if not inflater.eof:
        raise ValueError("message is truncated or too long")
    return _DECODER.decode(str(text, "utf-8"))


def _parse_finite(text: str) -> float:
    number = float(text)
    if not isfinite(number):
        raise ValueError(f"not a finite number: {text}")
    return number


#: ``json.loads`` would make one for each message.
_DECODER = json.JSONDecoder(parse_float=_parse_finite, parse_constant=_parse_finite)
_KIND_BY_NUMBER = {each.value: each for each in MessageKind}
_PREFIX_BY_KIND = {each: bytes([each]) for each in MessageKind}

"""
kingcupdyke_wire.answerlimit
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits of the answers that are read whole, in bytes and in the memory that decoding them takes.
"""

import re
from collections.abc import AsyncIterable, Callable
from typing import NamedTuple

from kingcupdyke.error import AnswerFault
from kingcupdyke.util import MIB

__all__ = [
    "CACHE_EVENTS",
    "HOST_LIST",
    "KV_CACHE",
    "OPERATOR_ANSWER",
    "ORDER_ANSWER",
    "REPORT",
    "STORE_ANSWER",
    "WHOLE_ANSWER",
    "AnswerLimit",
    "RefusedAnswerError",
    "choose_store_limit",
    "estimate_decoded_bytes",
    "read_whole",
]

#: Bytes of memory for each character of JSON that begins or separates values: for the containers,
#: and for the values and names next to them. Strings of JSON that contain these characters make
#: the estimate higher.
BYTES_BY_CHARACTER = {b"[": 96, b"{": 72, b":": 130, b",": 40, b'"': 40}
#: Copies of the text while it is decoded: itself, what its strings hold, and the part of a string
#: that is being put together.
TEXT_COPIES = 3
#: Bytes in UTF-8, or an escape sequence, of characters beyond the basic multilingual plane. A text
#: that has one takes four bytes for each of its characters.
WIDE_CHARACTER = re.compile(rb"[\xf0-\xff]|\\u[dD][89abAB]")


class RefusedAnswerError(Exception):
    """An answer is not read or not decoded, as it would exceed a limit.

    :param fault: the limit that it exceeds
    :param reason: description with the limit
    """

    def __init__(self, fault: AnswerFault, reason: str) -> None:
        super().__init__(reason)
        self.fault = fault


class AnswerLimit(NamedTuple):
    """What an answer of one kind may need at most."""

    #: Size of the body in bytes.
    body_bytes: int
    #: Memory in bytes while the body is decoded, as :func:`estimate_decoded_bytes` returns it.
    decoded_bytes: int

    def check_length(self, size: int) -> None:
        """:raises RefusedAnswerError: when a body of this size in bytes is too long"""
        if size > self.body_bytes:
            reason = f"the answer is longer than {self.body_bytes} bytes"
            raise RefusedAnswerError(AnswerFault.LENGTH, reason)

    def check_decoded(self, body: bytes) -> int:
        """:return: estimated memory in bytes while a body is decoded
        :raises RefusedAnswerError: when it is too much
        """
        size = estimate_decoded_bytes(body)
        if size > self.decoded_bytes:
            reason = f"decoding the answer may take more than {self.decoded_bytes} bytes"
            raise RefusedAnswerError(AnswerFault.DECODED_SIZE, reason)
        return size


#: An engine's report names the models and adapters that it holds, and the requests that it runs.
REPORT = AnswerLimit(256 * 1024, 2 * MIB)
#: An answer to an order has its status, and a reason for log lines.
ORDER_ANSWER = AnswerLimit(64 * 1024, 4 * MIB)
#: The store's objects have one megabyte of value at most, and its lists about as much in a part;
#: JSON may take several bytes for a character. One object of the least favourable shape fits.
STORE_ANSWER = AnswerLimit(8 * MIB, 96 * MIB)
#: One part in so many of the memory limit of a process is what decoding it may take.
STORE_MEMORY_PARTS = 3
#: A list of hosts has some hundred bytes for each host of the system.
HOST_LIST = AnswerLimit(4 * MIB, 64 * MIB)
#: Cache events name the prefix blocks that an engine has stored or evicted.
CACHE_EVENTS = AnswerLimit(8 * MIB, 96 * MIB)
#: The KV cache of one request, in Base64.
KV_CACHE = AnswerLimit(16 * MIB, 64 * MIB)
#: A gateway's answers to the operators' tool.
OPERATOR_ANSWER = AnswerLimit(4 * MIB, 64 * MIB)
#: Answers to callers' requests that are passed on whole.
WHOLE_ANSWER = AnswerLimit(16 * MIB, 128 * MIB)


def choose_store_limit(memory_bytes: int | None) -> AnswerLimit:
    """:return: limit of the store's answers in a process

    :param memory_bytes: memory limit of the process, or None if it is not known
    """
    if memory_bytes is None:
        return STORE_ANSWER
    decoded_bytes = min(STORE_ANSWER.decoded_bytes, memory_bytes // STORE_MEMORY_PARTS)
    return STORE_ANSWER._replace(decoded_bytes=decoded_bytes)


def estimate_decoded_bytes(body: bytes) -> int:
    """Estimate the memory that decoding JSON takes, without decoding it.

    A container without contents takes two bytes of JSON and over fifty of memory, so that the
    length of a body says little about it.

    :return: bytes that the text and all its values take together, or more
    """
    text_bytes = len(body) * _get_character_bytes(body)
    values_bytes = sum(size * body.count(each) for each, size in BYTES_BY_CHARACTER.items())
    return TEXT_COPIES * text_bytes + values_bytes


def _get_character_bytes(body: bytes) -> int:
    """:return: bytes of memory for each character of a text in UTF-8, or more"""
    if body.isascii() and b"\\u" not in body:
        return 1
    return 4 if WIDE_CHARACTER.search(body) else 2


async def read_whole(
    parts: AsyncIterable[bytes],
    limit: AnswerLimit = WHOLE_ANSWER,
    may_hold: Callable[[int], bool] = lambda size: True,
) -> bytes:
    """Read a body to its end.

    :param may_hold: is told the bytes that are held, and returns whether they may be
    :raises RefusedAnswerError: when the body is too long, or may not be held
    """
    body = bytearray()
    async for part in parts:
        body += part
        limit.check_length(len(body))
        if not may_hold(len(body)):
            raise RefusedAnswerError(AnswerFault.MEMORY, "the answer uses too much memory")
    return bytes(body)

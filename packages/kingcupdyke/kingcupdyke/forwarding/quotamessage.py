"""
kingcupdyke.forwarding.quotamessage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages by which gateways choose the owner of a caller's quota, and get tokens from it.
"""

from collections.abc import Mapping
from math import isfinite
from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message

__all__ = ["QuotaAsk", "QuotaClaim", "QuotaGrant", "QuotaMessage", "QuotaVote"]

#: Limit of an amount of tokens, and of a time in seconds.
MAX_NUMBER = 1e15


class QuotaAsk(NamedTuple):
    """A gateway asks a caller's owner for tokens."""

    caller: str
    sender: str
    incarnation: str
    #: Number of the ask within the incarnation; it only rises.
    number: int
    #: Number of the last ask whose grant was received.
    received_number: int
    #: Costs of waiting requests.
    needs: tuple[float, ...]
    #: Amount asked for in advance of requests.
    advance: float
    #: Amount that the gateway holds.
    stock: float
    #: Amount that it returns.
    returned: float

    message_kind = MessageKind.QUOTA_ASK

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self)

    @classmethod
    def decode(cls, value: bytes) -> Result["QuotaAsk", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_ask)


class QuotaGrant(NamedTuple):
    """An owner's answer to an ask."""

    caller: str
    #: Incarnation and number of the ask.
    incarnation: str
    number: int
    #: Whether each need is granted.
    accepted: tuple[bool, ...]
    #: Amount granted in advance of requests.
    advance: float
    #: What the bucket holds after this grant.
    level: float

    message_kind = MessageKind.QUOTA_GRANT

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self)

    @classmethod
    def decode(cls, value: bytes) -> Result["QuotaGrant", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_grant)


class QuotaClaim(NamedTuple):
    """A gateway wants to be, or to remain, the owner of callers."""

    sender: str
    incarnation: str
    #: Time at which it was sent, by the sender's clock.
    sent_s: float
    #: Seconds for which a vote holds; 0 gives the votes back.
    valid_s: float
    #: Term by caller; a later owner has a greater one.
    term_by_caller: Mapping[str, int]
    #: The callers of which the sender is the owner already.
    owned: frozenset[str]
    #: Tokens that the receiver starts with if it becomes the next owner, by caller.
    level_by_caller: Mapping[str, float]

    message_kind = MessageKind.QUOTA_CLAIM

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self._replace(owned=sorted(self.owned)))

    @classmethod
    def decode(cls, value: bytes) -> Result["QuotaClaim", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_claim)


class QuotaVote(NamedTuple):
    """A gateway agrees to a claim: until the vote expires, it asks no other owner."""

    sender: str
    #: Incarnation of the claim's sender, and the time in the claim.
    incarnation: str
    sent_s: float
    callers: tuple[str, ...]

    message_kind = MessageKind.QUOTA_VOTE

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self)

    @classmethod
    def decode(cls, value: bytes) -> Result["QuotaVote", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_vote)


QuotaMessage = QuotaAsk | QuotaGrant | QuotaClaim | QuotaVote


def _read_number(value: object) -> float:
    number = float(value)
    if not isfinite(number) or not 0.0 <= number <= MAX_NUMBER:
        raise ValueError(f"invalid number: {value!r}")
    return number


def _make_ask(fields):
    caller, sender, incarnation, number, received, needs, advance, stock, returned = fields
    return QuotaAsk(
        str(caller),
        str(sender),
        str(incarnation),
        int(number),
        int(received),
        tuple(_read_number(each) for each in needs),
        _read_number(advance),
        _read_number(stock),
        _read_number(returned),
    )


def _make_grant(fields):
    caller, incarnation, number, accepted, advance, level = fields
    flags = tuple(bool(each) for each in accepted)
    number = int(number)
    caller, incarnation = str(caller), str(incarnation)
    return QuotaGrant(
        caller, incarnation, number, flags, _read_number(advance), _read_number(level)
    )


def _make_claim(fields):
    sender, incarnation, sent_s, valid_s, terms, owned, levels = fields
    return QuotaClaim(
        str(sender),
        str(incarnation),
        _read_number(sent_s),
        _read_number(valid_s),
        {str(caller): int(term) for caller, term in terms.items()},
        frozenset(str(each) for each in owned),
        {str(caller): _read_number(level) for caller, level in levels.items()},
    )


def _make_vote(fields):
    sender, incarnation, sent_s, callers = fields
    names = tuple(str(each) for each in callers)
    return QuotaVote(str(sender), str(incarnation), _read_number(sent_s), names)

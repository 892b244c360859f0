"""
kingcupdyke.forwarding.streamorigin
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The software versions that began streams, which gateways tell each other.

What two versions of a service's software write does not fit together, so a stream may continue only
at the version that began it. A client may continue it at another gateway than the one where it
began, also when that one has ended. Each origin is therefore stored by the gateway where the stream
began and by a few of its peers, chosen by the attempt id, and any gateway can ask them.
"""

from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message
from kingcupdyke.util import rank_rendezvous

__all__ = ["ASKED_FACTOR", "OriginMessage", "StreamOrigin", "StreamOriginTable", "choose_holders"]

#: Number of peers in the gateway's region, and in other regions, that store an origin.
LOCAL_HOLDERS = 2
REMOTE_HOLDERS = 1
#: How many times as many peers are asked for an origin as store it, as some of those that store it
#: may have ended without the others knowing yet.
ASKED_FACTOR = 2
#: Limit of origins that a gateway stores; beyond it the oldest are dropped.
MAX_ORIGINS = 100_000


class StreamOrigin(NamedTuple):
    """Where a stream began."""

    #: Id of the client's attempt that brought the first event.
    attempt_id: str
    service: str
    software_version: str
    #: Seconds for which the client may continue the stream.
    valid_s: float
    #: Endpoint that began it, and Unix time of the start of its process in milliseconds; empty and
    #: 0 if unknown. A version without a known process proves nothing.
    endpoint: str = ""
    started_ms: int = 0
    #: Seconds since the stream began.
    age_s: float = 0.0


class OriginMessage(NamedTuple):
    """Origins that a gateway tells a peer, and attempts whose origins it asks for."""

    #: Host of the sender.
    sender: str
    origins: tuple[StreamOrigin, ...] = ()
    #: Attempts whose origins the sender asks for.
    asked: tuple[str, ...] = ()
    #: Attempts that the sender was asked for and whose origins it does not know.
    unknown: tuple[str, ...] = ()

    message_kind = MessageKind.STREAM_ORIGINS

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["OriginMessage", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_message)


class StreamOriginTable:
    """The origins that a gateway knows.

    :param max_origins: limit of their number; beyond it the oldest are dropped
    """

    def __init__(self, max_origins: int = MAX_ORIGINS) -> None:
        self._max_origins = max_origins
        self._entry_by_attempt: OrderedDict[str, tuple[StreamOrigin, float, float]] = OrderedDict()

    def put(self, origin: StreamOrigin, now_s: float) -> None:
        """Store an origin; one of the same version is only extended, another one kept."""
        expires_s = now_s + origin.valid_s
        known = self._entry_by_attempt.get(origin.attempt_id)
        if known is not None and now_s < known[1]:
            if known[0].software_version == origin.software_version:
                expires_s = max(known[1], expires_s)
                self._entry_by_attempt[origin.attempt_id] = (known[0], expires_s, known[2])
            return
        entry = (origin, expires_s, now_s - origin.age_s)
        self._entry_by_attempt[origin.attempt_id] = entry
        self._entry_by_attempt.move_to_end(origin.attempt_id)
        if len(self._entry_by_attempt) > self._max_origins:
            self._entry_by_attempt.popitem(last=False)

    def get(self, attempt_id: str, now_s: float) -> StreamOrigin | None:
        """:return: the origin of an attempt's stream with its age and the seconds that remain, or
        None
        """
        entry = self._entry_by_attempt.get(attempt_id)
        if entry is None or now_s >= entry[1]:
            return None
        origin, expires_s, began_s = entry
        return origin._replace(
            valid_s=round(expires_s - now_s, 3), age_s=round(max(0.0, now_s - began_s), 3)
        )

    def drop(self, attempt_id: str) -> None:
        """Remove an origin that has proved uncertain."""
        self._entry_by_attempt.pop(attempt_id, None)

    def drop_expired(self, now_s: float) -> None:
        """Remove the origins of streams that can't be continued any more."""
        for attempt_id, (_, expires_s, _) in list(self._entry_by_attempt.items()):
            if now_s >= expires_s:
                del self._entry_by_attempt[attempt_id]


def choose_holders(
    attempt_id: str, region: str, region_by_host: Mapping[str, str], factor: int = 1
) -> list[str]:
    """Choose the peers that store the origin of an attempt's stream.

    Gateways of all regions that know the same peers choose at least one peer in common.

    :param region: region of the gateway that stores or asks
    :param region_by_host: regions of its peers
    :param factor: multiple of the number of peers that store the origin
    :return: hosts of peers
    """
    ranked = rank_rendezvous(attempt_id, region_by_host)
    local = [each for each in ranked if region_by_host[each] == region]
    remote = [each for each in ranked if region_by_host[each] != region]
    return local[: factor * LOCAL_HOLDERS] + remote[: factor * REMOTE_HOLDERS]


def _make_message(fields: dict) -> OriginMessage:
    return OriginMessage(
        str(fields["sender"]),
        tuple(_make_origin(*each) for each in fields["origins"]),
        tuple(map(str, fields["asked"])),
        tuple(map(str, fields["unknown"])),
    )


def _make_origin(
    attempt_id: str,
    service: str,
    software_version: str,
    valid_s: float,
    endpoint: str = "",
    started_ms: int = 0,
    age_s: float = 0.0,
) -> StreamOrigin:
    return StreamOrigin(
        str(attempt_id),
        str(service),
        str(software_version),
        float(valid_s),
        str(endpoint),
        int(started_ms),
        float(age_s),
    )

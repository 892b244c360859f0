"""
kingcupdyke.forwarding.crashreport
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports on requests at endpoints that crashed, which gateways tell each other.
"""

from typing import NamedTuple

from expression import Result

from kingcupdyke.error import Failure
from kingcupdyke.forwarding.peermessage import MessageKind, decode_message, pack_message

__all__ = ["CrashMessage", "CrashReport", "RequestCrash", "SoundPart", "SoundRequest"]


class CrashReport(NamedTuple):
    """A request whose answer had at most begun when its endpoint crashed."""

    endpoint: str
    #: Unix time in milliseconds of the start of the endpoint's process that crashed.
    started_ms: int
    #: Ids of the parts of the request's prompt, in order.
    parts: tuple[str, ...]
    #: Whether its answer was just beginning: the head had been received, and nothing after it.
    is_beginning: bool
    #: Seconds since the crash.
    age_s: float


class SoundPart(NamedTuple):
    """A part of prompts on which an endpoint has written an answer without crashing."""

    part: str
    #: Seconds since the latest such answer.
    age_s: float


class RequestCrash(NamedTuple):
    """A crash of an endpoint that ran a request, known by the request's fingerprint."""

    request: str
    endpoint: str
    #: Unix time in milliseconds of the start of the endpoint's process that crashed.
    started_ms: int
    #: Seconds from sending the request to the crash.
    run_s: float
    #: Seconds since the crash.
    age_s: float


class SoundRequest(NamedTuple):
    """A request, by its fingerprint, that an endpoint has answered without crashing."""

    request: str
    #: Seconds since the latest such answer.
    age_s: float


class CrashMessage(NamedTuple):
    """Reports of a gateway, its own and those of its peers."""

    #: Host of the sender.
    sender: str
    reports: tuple[CrashReport, ...]
    sound_parts: tuple[SoundPart, ...]
    request_crashes: tuple[RequestCrash, ...] = ()
    sound_requests: tuple[SoundRequest, ...] = ()

    message_kind = MessageKind.CRASHES

    def encode(self) -> bytes:
        """:return: the message as a datagram"""
        return pack_message(self.message_kind, self._asdict())

    @classmethod
    def decode(cls, value: bytes) -> Result["CrashMessage", Failure]:
        """:return: the message, or a failure if the bytes are not a valid message"""
        return decode_message(cls.message_kind, value, _make_message)


def _make_message(fields: dict) -> CrashMessage:
    reports = tuple(_make_report(*each) for each in fields["reports"])
    sound = tuple(SoundPart(str(part), float(age_s)) for part, age_s in fields["sound_parts"])
    # Gateways of an earlier version send no such fields.
    crashes = tuple(_make_crash(*each) for each in fields.get("request_crashes", ()))
    sound_requests = tuple(
        SoundRequest(str(request), float(age_s))
        for request, age_s in fields.get("sound_requests", ())
    )
    return CrashMessage(str(fields["sender"]), reports, sound, crashes, sound_requests)


def _make_report(
    endpoint: str, started_ms: int, parts: list[str], is_beginning: bool, age_s: float
) -> CrashReport:
    if not isinstance(parts, list):
        raise TypeError("parts must be a list")
    ids = tuple(str(each) for each in parts)
    return CrashReport(str(endpoint), int(started_ms), ids, bool(is_beginning), float(age_s))


def _make_crash(
    request: str, endpoint: str, started_ms: int, run_s: float, age_s: float
) -> RequestCrash:
    return RequestCrash(str(request), str(endpoint), int(started_ms), float(run_s), float(age_s))

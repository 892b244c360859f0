"""
kingcupdyke_wire.store
~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's object store.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from base64 import b64decode
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar
from urllib.parse import quote, urlencode

from expression import Error, Ok, Result

from kingcupdyke.error import AnswerFault, Failure, Outcome, Step
from kingcupdyke_wire.answerlimit import STORE_ANSWER
from kingcupdyke_wire.decode import decode, make_failure
from kingcupdyke_wire.http import HttpAnswer, HttpClient

__all__ = [
    "COMPACTED",
    "Conflict",
    "HttpStoreClient",
    "StoreClient",
    "StoreObject",
    "WatchAnswer",
    "WatchEvent",
    "make_watch_answer",
]

T = TypeVar("T")

#: Reason of a failed watch whose position is too old: the objects have to be listed again.
COMPACTED = "compacted"

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_GONE = 410


class StoreObject(NamedTuple):
    """An object of the store."""

    kind: str
    name: str
    #: Current version, from 1; a conditional update succeeds only if it names this version.
    version: int
    #: The value, at most one megabyte.
    value: bytes


class Conflict(NamedTuple):
    """A conditional update was rejected because the object has another version."""

    #: The current object, or None if it does not exist.
    current: StoreObject | None


class WatchEvent(NamedTuple):
    """A change of one object of the watched kind."""

    #: Position in the store's order of writes, from which a watch can resume.
    position: int
    #: The object after the change, or None if it was deleted.
    current: StoreObject | None
    name: str


class WatchAnswer(NamedTuple):
    """The changes that a watch has returned."""

    #: Position from which the next watch resumes.
    position: int
    events: list[WatchEvent]


class StoreClient(ABC):
    """Client of a store of versioned objects with conditional updates and watches.

    A failure with the outcome "unknown" means that a write may have taken effect;
    "not run" means that it has not and will not.

    A store that may come back from a copy counts its eras. Its versions and positions contain the
    era in which they were read, so that none of a later era is equal to one of an earlier era, or
    less. A write with a version of an earlier era is "not run"; one that was in flight when the era
    changed is "unknown".
    """

    #: Called with what makes an answer of the store none.
    on_faulty_answer: Callable[[AnswerFault], None] = staticmethod(lambda fault: None)

    @property
    def era(self) -> int:
        """:return: era of the store's last answer; 0 if the store has none, or has not answered"""
        return 0

    @abstractmethod
    async def get(self, kind: str, name: str) -> Result[StoreObject | None, Failure]:
        """:return: the object, None if it does not exist, or a failure"""

    @abstractmethod
    async def put(
        self, kind: str, name: str, value: bytes, if_version: int
    ) -> Result[StoreObject | Conflict, Failure]:
        """Write an object if it still has the expected version.

        :param if_version: the version that was read; 0 if the object must not exist yet
        :return: the object as written, a conflict, or a failure
        """

    @abstractmethod
    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None | Conflict, Failure]:
        """Delete an object if it still has the expected version."""

    @abstractmethod
    async def list(
        self, kind: str, prefix: str = ""
    ) -> Result[tuple[int, list[StoreObject]], Failure]:
        """:return: the position to watch from, and the objects in order of their names"""

    @abstractmethod
    async def watch(
        self, kind: str, position: int, timeout_s: float
    ) -> Result[WatchAnswer, Failure]:
        """Wait for changes after a position.

        :param timeout_s: seconds to wait; the answer has no events if nothing changed
        :return: events in order, or a failure; it has the reason :data:`COMPACTED` if the
            store no longer has all changes after the position
        """


class HttpStoreClient(StoreClient):
    """HTTP client of a store.

    :param base_url: scheme, address and port
    :param timeout_s: timeout of a call in seconds; a watch adds it to its own timeout
    """

    def __init__(self, base_url: str, timeout_s: float = 2.0) -> None:
        self._http = HttpClient(
            base_url, timeout_s, step=Step.STORE, reuse=True, limit=STORE_ANSWER
        )
        self._timeout_s = timeout_s

    async def get(self, kind: str, name: str) -> Result[StoreObject | None, Failure]:
        answer = await self._http.request("GET", _path(kind, name))
        return answer.bind(lambda each: self._read_object(kind, name, each))

    async def put(
        self, kind: str, name: str, value: bytes, if_version: int
    ) -> Result[StoreObject | Conflict, Failure]:
        path = f"{_path(kind, name)}?if_version={if_version}"
        answer = await self._http.request("PUT", path, body=value)
        return answer.bind(lambda each: self._read_put(kind, name, value, each))

    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None | Conflict, Failure]:
        path = f"{_path(kind, name)}?if_version={if_version}"
        answer = await self._http.request("DELETE", path)
        return answer.bind(lambda each: self._read_delete(kind, name, each))

    async def list(
        self, kind: str, prefix: str = ""
    ) -> Result[tuple[int, list[StoreObject]], Failure]:
        path = f"/v1/objects/{quote(kind, safe='')}?{urlencode({'prefix': prefix})}"
        answer = await self._http.request("GET", path)
        return answer.bind(lambda each: self._decode(each, lambda d: _read_list(kind, d)))

    async def watch(
        self, kind: str, position: int, timeout_s: float
    ) -> Result[WatchAnswer, Failure]:
        query = urlencode({"position": position, "timeout": timeout_s})
        path = f"/v1/watch/{quote(kind, safe='')}?{query}"
        answer = await self._http.request("GET", path, timeout_s=timeout_s + self._timeout_s)
        return answer.bind(lambda each: self._read_watch(kind, position, each))

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    def _decode(self, answer: HttpAnswer, read: Callable[[Any], T]) -> Result[T, Failure]:
        return decode(answer, Step.STORE, self._http.peer, read, STORE_ANSWER)

    def _read_object(
        self, kind: str, name: str, answer: HttpAnswer
    ) -> Result[StoreObject | None, Failure]:
        if answer.status == STATUS_NOT_FOUND:
            return Ok(None)
        if answer.status != STATUS_OK:
            return Error(make_failure(answer, Step.STORE, self._http.peer))
        return self._read_version(answer).map(
            lambda version: StoreObject(kind, name, version, answer.body)
        )

    def _read_put(
        self, kind: str, name: str, value: bytes, answer: HttpAnswer
    ) -> Result[StoreObject | Conflict, Failure]:
        if answer.status == STATUS_CONFLICT:
            return self._read_conflict(kind, name, answer)
        if answer.status != STATUS_OK:
            return Error(make_failure(answer, Step.STORE, self._http.peer))
        return self._read_version(answer).map(
            lambda version: StoreObject(kind, name, version, value)
        )

    def _read_delete(
        self, kind: str, name: str, answer: HttpAnswer
    ) -> Result[None | Conflict, Failure]:
        if answer.status == STATUS_CONFLICT:
            return self._read_conflict(kind, name, answer)
        if answer.status != STATUS_OK:
            return Error(make_failure(answer, Step.STORE, self._http.peer))
        return Ok(None)

    def _read_conflict(self, kind: str, name: str, answer: HttpAnswer) -> Result[Conflict, Failure]:
        return self._read_version(answer).map(
            lambda version: Conflict(
                StoreObject(kind, name, version, answer.body) if version else None
            )
        )

    def _read_version(self, answer: HttpAnswer) -> Result[int, Failure]:
        try:
            return Ok(int(answer.headers["x-version"]))
        except (KeyError, ValueError):
            reason = "answer without X-Version header"
            return Error(Failure(Outcome.UNKNOWN, Step.STORE, self._http.peer, reason))

    def _read_watch(
        self, kind: str, position: int, answer: HttpAnswer
    ) -> Result[WatchAnswer, Failure]:
        if answer.status == STATUS_GONE:
            return Error(Failure(Outcome.FAILED, Step.STORE, self._http.peer, COMPACTED))
        events = self._decode(answer, lambda d: _read_events(kind, d))
        return events.map(lambda each: make_watch_answer(position, each))


def make_watch_answer(position: int, events: list[WatchEvent]) -> WatchAnswer:
    """:return: the answer of a watch that started at a position and received the events"""
    return WatchAnswer(max([position, *(each.position for each in events)]), events)


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _read_entry(kind: str, entry: dict) -> StoreObject:
    return StoreObject(kind, entry["name"], int(entry["version"]), b64decode(entry["value"]))


def _read_list(kind: str, data: dict) -> tuple[int, list[StoreObject]]:
    return int(data["position"]), [_read_entry(kind, entry) for entry in data["objects"]]


def _read_events(kind: str, data: dict) -> list[WatchEvent]:
    return [
        WatchEvent(
            int(entry["position"]),
            None if entry["value"] is None else _read_entry(kind, entry),
            entry["name"],
        )
        for entry in data["events"]
    ]

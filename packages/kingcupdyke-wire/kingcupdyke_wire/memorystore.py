"""
kingcupdyke_wire.memorystore
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Store client that keeps its objects in memory, for embedding and tests.
"""

from __future__ import annotations

from anyio import Event, move_on_after
from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke_wire.objecttable import ObjectTable
from kingcupdyke_wire.store import (
    COMPACTED,
    Conflict,
    StoreClient,
    StoreObject,
    WatchAnswer,
    make_watch_answer,
)

__all__ = ["MemoryStoreClient"]


class _Signal:
    """Wakes the waiting watches after a change."""

    def __init__(self) -> None:
        self.changed = Event()

    def wake(self) -> None:
        """Wake all watches that wait for a change."""
        self.changed.set()
        self.changed = Event()


class MemoryStoreClient(StoreClient):
    """A store within the process; several clients may share its objects.

    :param other: a client whose objects this one shares; each client simulates its own faults
    """

    def __init__(self, other: MemoryStoreClient | None = None) -> None:
        #: Whether every call fails as "not run", as in an outage.
        self.down = False
        #: Number of next writes that take effect but fail as "unknown", as if the answer were lost.
        self.answers_to_lose = 0
        #: Number of calls so far.
        self.calls = 0
        self._table = ObjectTable() if other is None else other._table
        self._signal = _Signal() if other is None else other._signal

    async def get(self, kind: str, name: str) -> Result[StoreObject | None, Failure]:
        return self._answer(lambda: self._table.get(kind, name))

    async def put(
        self, kind: str, name: str, value: bytes, if_version: int
    ) -> Result[StoreObject | Conflict, Failure]:
        return self._write(lambda: self._table.put(kind, name, value, if_version))

    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None | Conflict, Failure]:
        return self._write(lambda: self._table.delete(kind, name, if_version))

    async def list(
        self, kind: str, prefix: str = ""
    ) -> Result[tuple[int, list[StoreObject]], Failure]:
        return self._answer(lambda: (self._table.position, self._table.select(kind, prefix)))

    async def watch(
        self, kind: str, position: int, timeout_s: float
    ) -> Result[WatchAnswer, Failure]:
        with move_on_after(timeout_s):
            while not self.down and self._table.changes_after(kind, position) == []:
                await self._signal.changed.wait()
        answer = self._answer(lambda: self._table.changes_after(kind, position))
        if answer.is_ok() and answer.ok is None:
            return Error(_fail(Outcome.FAILED, COMPACTED))
        return answer.map(lambda each: make_watch_answer(position, each))

    def _answer(self, read):
        self.calls += 1
        if self.down:
            return Error(_fail(Outcome.NOT_RUN, "down"))
        return Ok(read())

    def _write(self, write):
        answer = self._answer(write)
        if answer.is_error():
            return answer
        self._signal.wake()
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Error(_fail(Outcome.UNKNOWN, "answer lost"))
        return answer


def _fail(outcome: Outcome, reason: str) -> Failure:
    return Failure(outcome, Step.STORE, "memory", reason)

"""
kingcupdyke_wire.store
~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's object store.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from expression import Result
from kingcupdyke.error import Failure

__all__ = ["Conflict", "StoreClient", "StoreObject", "WatchEvent"]


class StoreObject(NamedTuple):
    """An object of the store."""

    kind: str
    name: str
    #: Version that a conditional update names; the first one is 1.
    version: int
    #: The value, at most one megabyte.
    value: bytes


class Conflict(NamedTuple):
    """A conditional update lost: the object as it is now, or None when there is none."""

    current: StoreObject | None


class WatchEvent(NamedTuple):
    """A change of one object of the watched kind."""

    #: Position in the store's order of writes; a watch goes on from here.
    position: int
    #: The object, or None when it was deleted.
    current: StoreObject | None
    name: str


class StoreClient(ABC):
    """Objects with versions, conditional updates and watches.

    A failure with the outcome "unknown" means that a write may have taken effect;
    "not run" means that it has not and will not.
    """

    @abstractmethod
    async def get(self, kind: str, name: str) -> Result[StoreObject | None, Failure]:
        """:return: the object, None where there is none, or a failure"""

    @abstractmethod
    async def put(
        self, kind: str, name: str, value: bytes, if_version: int
    ) -> Result[StoreObject | Conflict, Failure]:
        """Write if the object still has a version.

        :param if_version: the version read before; 0 creates only where there is none
        :return: the object as written, a conflict, or a failure
        """

    @abstractmethod
    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None | Conflict, Failure]:
        """Delete if the object still has a version."""

    @abstractmethod
    async def list(
        self, kind: str, prefix: str = ""
    ) -> Result[tuple[int, list[StoreObject]], Failure]:
        """:return: the position to watch from, and the objects in order of their names"""

    @abstractmethod
    async def watch(
        self, kind: str, position: int, timeout_s: float
    ) -> Result[list[WatchEvent], Failure]:
        """Wait for changes after a position.

        :param timeout_s: seconds to wait; an empty list is returned when nothing changed
        :return: events in order, or a failure; a position that is too old to be
            replayed fails with the reason "compacted"
        """

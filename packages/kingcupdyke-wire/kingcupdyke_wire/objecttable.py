"""
kingcupdyke_wire.objecttable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Versioned objects with conditional updates, kept in memory.
"""

from collections import deque

from kingcupdyke_wire.store import Conflict, StoreObject, WatchEvent

__all__ = ["ObjectTable"]

#: Number of changes of each kind that are retained; a watch from an earlier position fails and
#: the objects have to be listed again.
MAX_CHANGES_PER_KIND = 1000


class ObjectTable:
    """The objects of a store and their latest changes."""

    def __init__(self) -> None:
        #: Position of the latest change.
        self.position = 0
        self._objects_by_key: dict[tuple[str, str], StoreObject] = {}
        self._changes_by_kind: dict[str, deque[WatchEvent]] = {}
        #: Position of the latest change that is no longer retained, by kind.
        self._dropped_position_by_kind: dict[str, int] = {}

    def get(self, kind: str, name: str) -> StoreObject | None:
        """:return: the object, or None if it does not exist"""
        return self._objects_by_key.get((kind, name))

    def put(self, kind: str, name: str, value: bytes, if_version: int) -> StoreObject | Conflict:
        """:return: the object as written, or a conflict"""
        current = self.get(kind, name)
        if if_version != (current.version if current else 0):
            return Conflict(current)
        written = StoreObject(kind, name, if_version + 1, value)
        self._objects_by_key[kind, name] = written
        self._record(kind, name, written)
        return written

    def delete(self, kind: str, name: str, if_version: int) -> None | Conflict:
        """:return: None if the object no longer exists, or a conflict"""
        current = self.get(kind, name)
        if if_version != (current.version if current else 0):
            return Conflict(current)
        if current is not None:
            del self._objects_by_key[kind, name]
            self._record(kind, name, None)
        return None

    def select(self, kind: str, prefix: str) -> list[StoreObject]:
        """:return: the objects of a kind in order of their names"""
        keys = sorted(key for key in self._objects_by_key if key[0] == kind)
        return [self._objects_by_key[key] for key in keys if key[1].startswith(prefix)]

    def changes_after(self, kind: str, position: int) -> list[WatchEvent] | None:
        """:return: the later changes in order, or None if some of them are no longer retained"""
        if position < self._dropped_position_by_kind.get(kind, 0):
            return None
        changes = self._changes_by_kind.get(kind, ())
        return [change for change in changes if change.position > position]

    def _record(self, kind: str, name: str, current: StoreObject | None) -> None:
        self.position += 1
        changes = self._changes_by_kind.setdefault(kind, deque())
        changes.append(WatchEvent(self.position, current, name))
        if len(changes) > MAX_CHANGES_PER_KIND:
            self._dropped_position_by_kind[kind] = changes.popleft().position

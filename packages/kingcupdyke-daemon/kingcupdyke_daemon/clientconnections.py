"""
kingcupdyke_daemon.clientconnections
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The open connections of a listener, of which the least useful give way to new ones.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import StrEnum

__all__ = ["BoundedConnection", "ClientConnections", "ConnectionState"]


class ConnectionState(StrEnum):
    """What a connection does."""

    #: Its last request was rejected, and it is about to close.
    ENDING = "ending"
    #: It waits for a request, or for the rest of a head.
    WAITING = "waiting"
    #: It receives a body, or is answered.
    BUSY = "busy"


class BoundedConnection(ABC):
    """A connection that gives way to others."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection without an answer."""


class ClientConnections:
    """The open connections of one listener.

    A connection beyond the limit takes the place of another one: of those that are ending, then of
    those that wait for a request, the one that has done so for longest. A connection that is busy
    gives way only by ``free_busy``.

    :param get_limit: returns the limit of open connections
    :param free_busy: closes a connection that is busy, and returns whether it did
    :param note_closed: called with what a connection did that is closed, and with the number of
        open connections
    """

    def __init__(
        self,
        get_limit: Callable[[], int],
        free_busy: Callable[[], bool],
        note_closed: Callable[[str, int], None],
    ) -> None:
        self._get_limit = get_limit
        self._free_busy = free_busy
        self._note_closed = note_closed
        #: The connections in each state; those that have been in it for longest come first.
        self._connections_by_state: dict[ConnectionState, dict[BoundedConnection, None]] = {
            state: {} for state in ConnectionState
        }

    def __len__(self) -> int:
        return sum(len(each) for each in self._connections_by_state.values())

    @property
    def waiting(self) -> list[BoundedConnection]:
        """:return: the connections that wait for a request"""
        return list(self._connections_by_state[ConnectionState.WAITING])

    def open(self, connection: BoundedConnection) -> bool:
        """Add a new connection.

        :return: whether there was a place for it, or another one has given way
        """
        if len(self) >= self._get_limit() and not self._make_place():
            self._note_closed("new", len(self))
            return False
        self.set_state(connection, ConnectionState.WAITING)
        return True

    def set_state(self, connection: BoundedConnection, state: ConnectionState) -> None:
        """Record what a connection does from now on."""
        self.remove(connection)
        self._connections_by_state[state][connection] = None

    def remove(self, connection: BoundedConnection) -> None:
        """Forget a connection that is closed."""
        for each in self._connections_by_state.values():
            each.pop(connection, None)

    def close_oldest(self, state: ConnectionState) -> bool:
        """:return: whether there was a connection in that state, which was closed"""
        found = next(iter(self._connections_by_state[state]), None)
        if found is None:
            return False
        self.close(found, state)
        return True

    def close(self, connection: BoundedConnection, reason: str) -> None:
        """Close a connection that gives way."""
        self._note_closed(reason, len(self))
        self.remove(connection)
        connection.abort()

    def _make_place(self) -> bool:
        return (
            self.close_oldest(ConnectionState.ENDING)
            or self.close_oldest(ConnectionState.WAITING)
            or self._free_busy()
        )

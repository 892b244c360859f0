"""
kingcupdyke_daemon.forwarder.pool
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Pool of idle connections to endpoints.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable
from weakref import WeakValueDictionary

from anyio import CancelScope, move_on_after, sleep
from anyio.abc import TaskGroup

from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.connection import EndpointConnection, ReadTurns, TransferError

__all__ = ["ConnectionPool"]

_LOGGER = logging.getLogger(__name__)
#: Time for which an answer is awaited that may cross the end of its request; longer than a round
#: trip between regions.
LATE_ANSWER_TIMEOUT_S = 0.1
#: Time after the end of a connection after which it is known whether the endpoint's process goes
#: on: one that ends may close its connections before it stops listening.
ENDING_DELAY_S = 0.1
#: An idle connection is no longer used when less than this remains of the endpoint's keep-alive.
IDLE_MARGIN_S = 0.4
#: Seconds that an idle connection is kept if the endpoint does not announce its keep-alive.
DEFAULT_KEEP_ALIVE_S = 5.0
#: Like IDLE_MARGIN_S, for requests that must not be retried: the endpoint must not close the
#: connection while such a request is being sent.
NON_RETRYABLE_MARGIN_S = 2.0
#: Maximum number of idle connections to one endpoint.
MAX_IDLE_CONNECTIONS = 48


class ConnectionPool:
    """Keeps idle connections by endpoint and reuses the most recently used one first.

    A connection is owned by the pool or by one request. Whatever takes one out of the pool does so
    without waiting, so that no other task can take it as well; it is closed in the background.

    :param timer: the timer service
    :param tasks: task group that closes connections
    """

    def __init__(self, timer: TimerService, tasks: TaskGroup) -> None:
        self._timer = timer
        self._tasks = tasks
        self._idle_by_endpoint: dict[str, list[EndpointConnection]] = {}
        #: Kept for as long as connections to the endpoint are.
        self._turns_by_endpoint: WeakValueDictionary[str, ReadTurns] = WeakValueDictionary()
        #: Endpoints for which a task finds out whether they still listen.
        self._checked: set[str] = set()

    @property
    def idle_count(self) -> int:
        """:return: number of idle connections"""
        return sum(len(idle) for idle in self._idle_by_endpoint.values())

    async def acquire(
        self, endpoint: str, address: tuple[str, int], needs_fresh: bool, attempt_id: str
    ) -> EndpointConnection:
        """Return an idle connection, or open a new one; the caller owns it.

        A connection on which the endpoint has rejected the same attempt is not used, nor is any for
        an attempt without an id: an answer to an earlier request could be taken for its own.

        :param needs_fresh: whether the request must not be retried, so that a connection that the
            endpoint may be closing is not used
        :param attempt_id: id of the client's attempt, or empty
        :raises TransferError: when the connection can't be established
        """
        margin_s = NON_RETRYABLE_MARGIN_S if needs_fresh else IDLE_MARGIN_S
        connection = self._take(endpoint, margin_s, attempt_id) if attempt_id else None
        return connection or await self._open(endpoint, address)

    def release(self, endpoint: str, connection: EndpointConnection) -> None:
        """Take over a connection whose request has ended cleanly; it is closed if not reusable."""
        idle = self._idle_by_endpoint.setdefault(endpoint, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS or not connection.prepare_reuse():
            self._close([connection])
            return
        connection.idle_since_s = self._timer.now()
        idle.append(connection)

    def close_after(
        self, connection: EndpointConnection, read: Callable[[], Awaitable[object]]
    ) -> None:
        """Close the connection of a request that is no longer wanted, after a short wait.

        :param read: reads an answer that has been sent by now, for what it says of the endpoint
        """
        self._tasks.start_soon(_read_and_close, connection, read)

    async def is_listening(self, endpoint: str, address: tuple[str, int]) -> bool:
        """Check whether the process of an endpoint goes on after it has closed a connection.

        :return: False if no process listens at its address; True also if that can't be told
        """
        await sleep(ENDING_DELAY_S)
        idle = self._idle_by_endpoint.get(endpoint, ())
        if any(each.is_reusable() for each in idle):
            return True
        try:
            connection = await self._open(endpoint, address)
        except TransferError as error:
            _LOGGER.info("endpoint %s has closed a connection: %s", endpoint, error.reason)
            return not error.is_refused
        idle = self._idle_by_endpoint.setdefault(endpoint, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            self._close([connection])
            return True
        connection.idle_since_s = self._timer.now()
        idle.append(connection)
        return True

    def check_listening(
        self, endpoint: str, address: tuple[str, int], on_gone: Callable[[], None]
    ) -> None:
        """Find out in the background whether an endpoint still listens that broke a connection.

        :param on_gone: called if no process listens at its address
        """
        if endpoint not in self._checked:
            self._checked.add(endpoint)
            self._tasks.start_soon(self._check_listening, endpoint, address, on_gone)

    async def _check_listening(
        self, endpoint: str, address: tuple[str, int], on_gone: Callable[[], None]
    ) -> None:
        try:
            if not await self.is_listening(endpoint, address):
                on_gone()
        finally:
            self._checked.discard(endpoint)

    def close_expired(self) -> None:
        """Close the connections whose idle time has expired."""
        now_s = self._timer.now()
        for endpoint, idle in list(self._idle_by_endpoint.items()):
            expired = [each for each in idle if now_s - each.idle_since_s >= _max_idle_s(each)]
            kept = [each for each in idle if each not in expired]
            if kept:
                self._idle_by_endpoint[endpoint] = kept
            else:
                del self._idle_by_endpoint[endpoint]
            self._close(expired)

    def close_all(self) -> None:
        """Close all idle connections."""
        idle_by_endpoint, self._idle_by_endpoint = self._idle_by_endpoint, {}
        for idle in idle_by_endpoint.values():
            self._close(idle)

    async def _open(self, endpoint: str, address: tuple[str, int]) -> EndpointConnection:
        turns = self._turns_by_endpoint.get(endpoint)
        if turns is None:
            turns = self._turns_by_endpoint[endpoint] = ReadTurns()
        return await EndpointConnection.open(address, turns)

    def _take(self, endpoint: str, margin_s: float, attempt_id: str) -> EndpointConnection | None:
        """Take the first usable connection out of the pool, and those that are not usable."""
        now_s = self._timer.now()
        idle = self._idle_by_endpoint.get(endpoint, [])
        for connection in reversed(idle.copy()):
            if attempt_id in connection.rejected_attempts:
                continue
            idle.remove(connection)
            idle_s = now_s - connection.idle_since_s
            if idle_s < _max_idle_s(connection, margin_s) and connection.is_reusable():
                return connection
            self._close([connection])
        return None

    def _close(self, connections: Iterable[EndpointConnection]) -> None:
        for connection in connections:
            self._tasks.start_soon(connection.aclose)


async def _read_and_close(
    connection: EndpointConnection, read: Callable[[], Awaitable[object]]
) -> None:
    try:
        with move_on_after(LATE_ANSWER_TIMEOUT_S):
            await read()
    except TransferError as error:
        _LOGGER.debug("no late answer: %s", error.reason)
    finally:
        with CancelScope(shield=True):
            await connection.aclose()


def _max_idle_s(connection: EndpointConnection, margin_s: float = IDLE_MARGIN_S) -> float:
    """:return: idle time in seconds up to which a connection may be used"""
    keep_alive_s = (
        DEFAULT_KEEP_ALIVE_S if connection.keep_alive_s is None else connection.keep_alive_s
    )
    return max(0.0, keep_alive_s - margin_s)

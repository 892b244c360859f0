"""
kingcupdyke_daemon.forwarder.pool
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Pool of idle connections to endpoints.
"""

from anyio import create_task_group

from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.connection import EndpointConnection
from kingcupdyke_daemon.forwarder.dialect import Dialect

__all__ = ["ConnectionPool"]

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

    :param dialect: passed to new connections
    :param timer: the timer service
    """

    def __init__(self, dialect: Dialect, timer: TimerService) -> None:
        self._dialect = dialect
        self._timer = timer
        self._idle_by_endpoint: dict[str, list[EndpointConnection]] = {}

    async def acquire(
        self, endpoint: str, address: tuple[str, int], needs_fresh: bool
    ) -> EndpointConnection:
        """Return an idle connection, or open a new one.

        :param needs_fresh: whether the request must not be retried, so that a connection that the
            endpoint may be closing is not used
        :raises TransferError: when the connection can't be established
        """
        idle = self._idle_by_endpoint.get(endpoint, [])
        while idle:
            connection = idle.pop()
            idle_s = self._timer.now() - connection.idle_since_s
            margin_s = NON_RETRYABLE_MARGIN_S if needs_fresh else IDLE_MARGIN_S
            max_idle_s = _max_idle_s(connection, margin_s)
            if idle_s < max_idle_s and connection.is_reusable():
                return connection
            await connection.aclose()
        return await EndpointConnection.open(address, self._dialect)

    async def release(self, endpoint: str, connection: EndpointConnection) -> None:
        """Keep a connection whose request has ended cleanly, if it can be reused."""
        idle = self._idle_by_endpoint.setdefault(endpoint, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS or not connection.prepare_reuse():
            await connection.aclose()
            return
        connection.idle_since_s = self._timer.now()
        idle.append(connection)

    async def drop(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that was removed."""
        await _close_all(self._idle_by_endpoint.pop(endpoint, []))

    async def close_expired(self) -> None:
        """Close the connections whose idle time has expired."""
        now_s = self._timer.now()
        for endpoint, idle in list(self._idle_by_endpoint.items()):
            expired = [each for each in idle if now_s - each.idle_since_s >= _max_idle_s(each)]
            self._idle_by_endpoint[endpoint] = [each for each in idle if each not in expired]
            await _close_all(expired)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for endpoint in list(self._idle_by_endpoint):
            await self.drop(endpoint)


def _max_idle_s(connection: EndpointConnection, margin_s: float = IDLE_MARGIN_S) -> float:
    """:return: idle time in seconds up to which a connection may be used"""
    keep_alive_s = (
        DEFAULT_KEEP_ALIVE_S if connection.keep_alive_s is None else connection.keep_alive_s
    )
    return max(0.0, keep_alive_s - margin_s)


async def _close_all(connections: list[EndpointConnection]) -> None:
    async with create_task_group() as tasks:
        for connection in connections:
            tasks.start_soon(connection.aclose)

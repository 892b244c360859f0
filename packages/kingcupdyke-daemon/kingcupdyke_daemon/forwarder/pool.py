"""
kingcupdyke_daemon.forwarder.pool
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Idle connections to endpoints, by endpoint.
"""

from anyio import create_task_group

from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.connection import EndpointConnection
from kingcupdyke_daemon.forwarder.dialect import Dialect

__all__ = ["ConnectionPool"]

#: Seconds before the endpoint's own timeout at which an idle connection is not used any more.
MARGIN_S = 0.4
#: Seconds that an idle connection is kept where the endpoint does not say how long it keeps it.
KEEP_S = 5.0
#: The same for a request that may not be repeated: the endpoint's close must not cross it.
FRESH_MARGIN_S = 2.0
#: Idle connections that are kept for one endpoint.
MOST_IDLE = 48


class ConnectionPool:
    """Keeps idle connections, the latest used first.

    :param dialect: handed to new connections
    :param timer: the timer service
    """

    def __init__(self, dialect: Dialect, timer: TimerService) -> None:
        self._dialect = dialect
        self._timer = timer
        self._idle_by_endpoint: dict[str, list[EndpointConnection]] = {}

    async def take(
        self, endpoint: str, address: tuple[str, int], needs_fresh: bool
    ) -> EndpointConnection:
        """Give an idle connection, or open one.

        :param needs_fresh: whether the request may not be repeated, so that a connection that the
            endpoint may just be closing is not used
        :raises TransferError: when no connection can be made
        """
        idle = self._idle_by_endpoint.get(endpoint, [])
        while idle:
            connection = idle.pop()
            idle_s = self._timer.now() - connection.idle_since_s
            margin_s = FRESH_MARGIN_S if needs_fresh else MARGIN_S
            most_s = _keep_s(connection, margin_s)
            if idle_s < most_s and connection.is_quiet():
                return connection
            await connection.aclose()
        return await EndpointConnection.open(address, self._dialect)

    async def give_back(self, endpoint: str, connection: EndpointConnection) -> None:
        """Keep a connection whose request has ended well."""
        idle = self._idle_by_endpoint.setdefault(endpoint, [])
        if len(idle) >= MOST_IDLE or not connection.renew():
            await connection.aclose()
            return
        connection.idle_since_s = self._timer.now()
        idle.append(connection)

    async def drop(self, endpoint: str) -> None:
        """Close the idle connections of an endpoint that is gone."""
        await _close_all(self._idle_by_endpoint.pop(endpoint, []))

    async def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = self._timer.now()
        for endpoint, idle in list(self._idle_by_endpoint.items()):
            expired = [each for each in idle if now_s - each.idle_since_s >= _keep_s(each)]
            self._idle_by_endpoint[endpoint] = [each for each in idle if each not in expired]
            await _close_all(expired)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for endpoint in list(self._idle_by_endpoint):
            await self.drop(endpoint)


def _keep_s(connection: EndpointConnection, margin_s: float = MARGIN_S) -> float:
    """:return: seconds of idleness up to which a connection is used"""
    keep_alive_s = KEEP_S if connection.keep_alive_s is None else connection.keep_alive_s
    return max(0.0, keep_alive_s - margin_s)


async def _close_all(connections: list[EndpointConnection]) -> None:
    async with create_task_group() as tasks:
        for connection in connections:
            tasks.start_soon(connection.aclose)

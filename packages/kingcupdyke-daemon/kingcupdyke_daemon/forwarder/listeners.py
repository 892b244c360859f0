"""
kingcupdyke_daemon.forwarder.listeners
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The listeners of a forwarding gateway: for clients, for readiness checks and for metrics.
"""

from collections.abc import Callable

from anyio.abc import SocketListener, TaskGroup

from kingcupdyke.forwarding.configuration import ClientLimits
from kingcupdyke_daemon.forwarder.answerbuffer import AnswerMemory
from kingcupdyke_daemon.forwarder.clientserver import AuxiliaryServer, ClientServer
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics, MetricsHandler
from kingcupdyke_daemon.forwarder.readyhandler import ReadyHandler
from kingcupdyke_daemon.forwarder.reply import RequestHandler
from kingcupdyke_daemon.forwarder.settings import ForwarderSettings
from kingcupdyke_daemon.taskerrors import TaskErrors

__all__ = ["Listeners"]


class Listeners:
    """The servers of all listeners.

    :param request_handler: answers clients' requests
    :param metrics: the metrics that are served
    :param get_limits: returns the limits of clients' requests
    :param get_max_connections: returns the limit of open connections of clients
    :param now: returns the time in seconds
    :param memory: bounds the bytes held for slow clients and of request bodies
    :param errors: logs and counts errors of connections
    """

    def __init__(
        self,
        request_handler: RequestHandler,
        metrics: ForwarderMetrics,
        get_limits: Callable[[], ClientLimits],
        get_max_connections: Callable[[], int],
        now: Callable[[], float],
        memory: AnswerMemory,
        errors: TaskErrors,
    ) -> None:
        #: Says whether the gateway takes new connections.
        self.ready = ReadyHandler()
        #: Serves the clients.
        self.clients = ClientServer(
            request_handler, get_limits, now, memory, errors, get_max_connections
        )
        self._ready_server = AuxiliaryServer("ready", self.ready, now, memory, errors)
        self._metrics_server = AuxiliaryServer(
            "metrics", MetricsHandler(metrics), now, memory, errors
        )

    async def start(self, settings: ForwarderSettings, tasks: TaskGroup) -> SocketListener:
        """Listen on all addresses, and serve in the background.

        :param tasks: runs the servers and their connections
        :return: the listener for clients
        :raises OSError: when an address can't be used
        """
        ready_listener = await self._ready_server.listen(settings.ready)
        client_listener = await self.clients.listen(settings.front)
        if settings.metrics is not None:
            metrics_listener = await self._metrics_server.listen(settings.metrics)
            tasks.start_soon(self._metrics_server.serve, metrics_listener, tasks)
        tasks.start_soon(self._ready_server.serve, ready_listener, tasks)
        tasks.start_soon(self.clients.serve, client_listener, tasks)
        return client_listener

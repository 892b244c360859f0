"""
kingcupdyke_daemon.forwarder.clientserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Listeners for HTTP/1.1 connections of clients.
"""

import logging
from collections.abc import Callable
from http import HTTPStatus
from socket import SO_RCVBUF, SOL_SOCKET, socket

from anyio import (
    ClosedResourceError,
    aclose_forcefully,
    create_tcp_listener,
    sleep,
)
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from kingcupdyke.forwarding.configuration import ClientLimits
from kingcupdyke.forwarding.connectionlimit import (
    DEFAULT_MAX_CONNECTIONS,
    MAX_AUXILIARY_CONNECTIONS,
)
from kingcupdyke.forwarding.incomingbodies import IncomingBodies
from kingcupdyke_daemon.clientconnections import ClientConnections, ConnectionState
from kingcupdyke_daemon.forwarder.answerbuffer import DISCONNECT_ERRORS, AnswerMemory
from kingcupdyke_daemon.forwarder.clientconnection import ClientConnection, ConnectionContext
from kingcupdyke_daemon.forwarder.clientlog import ClientLog
from kingcupdyke_daemon.forwarder.earlyrejection import (
    read_waiting_request,
    reject_waiting_request,
)
from kingcupdyke_daemon.forwarder.reply import ClientDisconnectedError, RequestHandler
from kingcupdyke_daemon.forwarder.settings import SocketAddress
from kingcupdyke_daemon.looptimes import PASSES_TO_ACCEPT, ArrivalTimes, get_loop_times
from kingcupdyke_daemon.taskerrors import TaskErrors

__all__ = ["AuxiliaryServer", "ClientServer"]

_LOGGER = logging.getLogger(__name__)
#: Delay before the next connection is accepted after that has failed.
ACCEPT_RETRY_S = 0.1
#: Limit of the connections that are accepted before other tasks run.
MAX_ACCEPTED_AT_ONCE = 64
#: Receive buffer of each connection. The kernel would let it grow to megabytes, which count toward
#: the memory of the process while they are not read.
RECEIVE_BUFFER_BYTES = 32_768


class ClientServer:
    """Serves the connections of one listener.

    :param handler: answers the requests
    :param get_limits: returns the limits in force
    :param now: returns the time in seconds
    :param memory: bounds the bytes held for slow clients and of request bodies
    :param errors: logs and counts errors of connections
    :param get_max_connections: returns the limit of open connections
    """

    #: Name of the listener in log lines and metrics.
    name = "front"

    def __init__(
        self,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        now: Callable[[], float],
        memory: AnswerMemory,
        errors: TaskErrors,
        get_max_connections: Callable[[], int] = lambda: DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._errors = errors
        self._now = now
        self._bodies = IncomingBodies(memory.budget)
        log = ClientLog(self.name, memory.metrics, now)
        self._connections = ClientConnections(get_max_connections, self._free_busy, log.note_closed)
        #: Number of accepted connections that are not among them yet.
        self._starting = 0
        self._context = ConnectionContext(
            handler,
            get_limits,
            now,
            memory,
            self._bodies,
            self._connections,
            log,
            self._note_error,
        )
        memory.metrics.add_gauge(f"{self.name}_connections", lambda: {"": len(self._connections)})

    @property
    def in_progress(self) -> int:
        """:return: number of requests in progress: the head was read, the answer not finished"""
        return self._context.in_progress

    def begin_stop(self) -> None:
        """Let answers carry ``Connection: close`` from now on."""
        self._context.is_stopping = True

    async def listen(self, address: SocketAddress) -> SocketListener:
        """:return: a listener for :meth:`serve`"""
        listeners = await create_tcp_listener(local_host=address.address, local_port=address.port)
        listener = listeners.listeners[0]
        # Accepted connections inherit it.
        raw = listener.extra(SocketAttribute.raw_socket)
        raw.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return listener

    async def serve(self, listener: SocketListener, tasks: TaskGroup) -> None:
        """Serve until cancelled or the listener is closed.

        :param tasks: task group that runs the connections, which outlive the listener
        """
        arrivals = ArrivalTimes(get_loop_times(), self._now(), PASSES_TO_ACCEPT)
        while True:
            arrivals.begin_look()
            try:
                stream = await listener.accept()
                arrived_s = arrivals.find_arrival()
                await self._start_connection(stream, arrived_s, tasks)
                if self._accept_waiting(listener, arrived_s, tasks):
                    arrivals.begin_wait(self._now())
            except ClosedResourceError:
                _LOGGER.debug("the listener was closed")
                return
            except OSError as error:
                # As with no free descriptor: the connections wait in the kernel meanwhile.
                self._errors.note("accept", error)
                await sleep(ACCEPT_RETRY_S)

    async def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        while self._starting:
            await sleep(0)
        for connection in self._connections.waiting:
            await connection.aclose()

    def _free_busy(self) -> bool:
        """Close a connection that is busy for a new one.

        :return: whether there was one that may be closed
        """
        return self._bodies.free_connection(self._now())

    def _note_error(self, error: Exception) -> None:
        self._errors.note("client connection", error)

    def _accept_waiting(self, listener: SocketListener, arrived_s: float, tasks: TaskGroup) -> bool:
        """Accept the connections that wait; one at a time, each would take several passes of the
        loop.

        :param arrived_s: time in seconds before which none of them arrived
        :return: whether all were accepted
        :raises OSError: when there is no free descriptor
        """
        # anyio gives out its socket without the method that accepts.
        raw = socket(fileno=listener.extra(SocketAttribute.raw_socket).fileno())
        try:
            for _ in range(MAX_ACCEPTED_AT_ONCE):
                accepted, _ = raw.accept()
                accepted.setblocking(False)
                with self._errors.contain("early rejection"):
                    if self._reject_early(accepted, arrived_s):
                        continue
                self._starting += 1
                tasks.start_soon(self._start_accepted, accepted, arrived_s, tasks)
        except BlockingIOError:
            return True
        except ConnectionAbortedError as error:
            _LOGGER.debug("the client disconnected at once: %r", error)
        finally:
            raw.detach()
        return False

    def _reject_early(self, accepted: socket, arrived_s: float) -> bool:
        """:return: whether the request of a new connection was rejected, which is closed then"""
        handler, unread_s = self._context.handler, self._now() - arrived_s
        reason = handler.find_shortage(unread_s)
        headers = read_waiting_request(accepted) if reason else None
        if headers is None:
            return False
        headers = handler.note_early_rejection(headers, reason, unread_s)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        reject_waiting_request(accepted, status.value, status.phrase, reason, headers)
        return True

    async def _start_accepted(self, accepted: socket, arrived_s: float, tasks: TaskGroup) -> None:
        try:
            stream = await SocketStream.from_socket(accepted)
            await self._start_connection(stream, arrived_s, tasks)
        except (OSError, ValueError) as error:
            # A ValueError is raised for a socket that is no longer connected.
            _LOGGER.debug("the client disconnected at once: %r", error)
            accepted.close()
        finally:
            self._starting -= 1

    async def _start_connection(
        self, stream: SocketStream, arrived_s: float, tasks: TaskGroup
    ) -> None:
        """Serve a connection that was accepted.

        :param arrived_s: time in seconds before which it did not arrive
        """
        arrivals = ArrivalTimes(get_loop_times(), arrived_s)
        try:
            connection = ClientConnection(self._context, stream, arrivals)
        except OSError as error:
            _LOGGER.debug("the client disconnected at once: %r", error)
            await aclose_forcefully(stream)
            return
        if self._connections.open(connection):
            tasks.start_soon(self._serve_connection, connection)
        else:
            await connection.aclose()

    async def _serve_connection(self, connection: ClientConnection) -> None:
        try:
            await connection.serve()
        except (ClientDisconnectedError, *DISCONNECT_ERRORS) as error:
            _LOGGER.debug("the client disconnected: %r", error)
        except Exception as error:
            self._note_error(error)
        finally:
            self._connections.remove(connection)
            await connection.aclose()


class AuxiliaryServer(ClientServer):
    """Serves a listener for the platform, such as for metrics, whose requests have no bodies.

    Beyond the limit a new connection takes the place of the oldest one also if that is answered, so
    that it can't be kept from its answer.

    :param name: name of the listener in log lines and metrics
    """

    def __init__(
        self,
        name: str,
        handler: RequestHandler,
        now: Callable[[], float],
        memory: AnswerMemory,
        errors: TaskErrors,
    ) -> None:
        self.name = name
        super().__init__(
            handler,
            lambda: ClientLimits(max_body_bytes=0),
            now,
            memory,
            errors,
            lambda: MAX_AUXILIARY_CONNECTIONS,
        )

    def _free_busy(self) -> bool:
        return self._connections.close_oldest(ConnectionState.BUSY)

"""
kingcupdyke_wire.server
~~~~~~~~~~~~~~~~~~~~~~~

The grpclib server of a daemon, which rejects oversized and malformed messages.
"""

from collections.abc import Awaitable, Callable, Collection

from google.protobuf.message import DecodeError, Message
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.encoding.proto import ProtoCodec
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from kingcupdyke_wire.h2protocol import BoundedH2Protocol, OpenConnections

__all__ = ["MAX_MESSAGE_BYTES", "make_server"]

#: Size of the largest message that is accepted.
MAX_MESSAGE_BYTES = 16 << 20
#: Limit of the bytes of all messages that calls receive or process, and size up to which a message
#: is accepted beyond it.
MAX_HELD_BYTES = 32 << 20
FREE_MESSAGE_BYTES = 65_536
#: Limits of the open connections and of the calls in progress of one server.
MAX_CONNECTIONS = 1024
MAX_CALLS = 4096
#: Bytes of a message that are read at a time.
READ_BYTES = 4096
#: Bytes that a connection, or one of its calls, may send before they are read.
_WINDOW_BYTES = 1 << 20
#: Interval of HTTP/2 pings on each connection, and time to answer one, in seconds.
_PING_INTERVAL_S = 5.0
_PING_TIMEOUT_S = 10.0
_CONFIGURATION = Configuration(
    _keepalive_time=_PING_INTERVAL_S,
    _keepalive_timeout=_PING_TIMEOUT_S,
    _keepalive_permit_without_calls=True,
    http2_connection_window_size=_WINDOW_BYTES,
    http2_stream_window_size=_WINDOW_BYTES,
)


class CheckedCodec(ProtoCodec):
    """Rejects a message that cannot be decoded with the status INVALID_ARGUMENT."""

    def decode(self, data: bytes, message_type: type[Message]) -> Message:
        try:
            return super().decode(data, message_type)
        except DecodeError:
            raise GRPCError(Status.INVALID_ARGUMENT, f"invalid {message_type.__name__}") from None


class BoundedServer(Server):
    """A server with a limit of open connections."""

    def __init__(self, services: Collection[object]) -> None:
        super().__init__(services, codec=CheckedCodec(), config=_CONFIGURATION)
        self._open_connections = OpenConnections(MAX_CONNECTIONS)

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        bounded = BoundedH2Protocol(protocol.handler, protocol.config, protocol.h2_config)
        bounded.open_connections = self._open_connections
        return bounded


class CallLimits:
    """Limits what the calls in progress at one server hold together."""

    def __init__(self) -> None:
        self.calls = 0
        #: Bytes of the messages that are received or processed.
        self.held_bytes = 0

    async def limit_request(self, event: RecvRequest) -> None:
        """Let a call be handled within the limits."""
        handler = event.method_func

        async def handle_limited(stream: Stream) -> None:
            if self.calls >= MAX_CALLS:
                raise GRPCError(Status.RESOURCE_EXHAUSTED, f"over {MAX_CALLS} calls in progress")
            reader = _MessageReader(stream._stream.recv_data, self)
            stream._stream.recv_data = reader.read
            self.calls += 1
            try:
                await handler(stream)
            except NotImplementedError as error:
                raise GRPCError(Status.UNIMPLEMENTED, str(error)) from None
            finally:
                self.calls -= 1
                reader.hold(0)

        event.method_func = handle_limited


class _MessageReader:
    """Reads the messages of one call.

    :param read: reads a number of bytes
    :param limits: shared by all calls of the server
    """

    def __init__(self, read: Callable[[int], Awaitable[bytes]], limits: CallLimits) -> None:
        self._read = read
        self._limits = limits
        self._held_bytes = 0

    def hold(self, size: int) -> None:
        """Count a message of so many bytes instead of the one before it.

        :raises GRPCError: when all calls together hold too much
        """
        held_bytes = self._limits.held_bytes - self._held_bytes
        if size > FREE_MESSAGE_BYTES and held_bytes + size > MAX_HELD_BYTES:
            reason = f"the messages in progress exceed {MAX_HELD_BYTES} bytes"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, reason)
        self._limits.held_bytes = held_bytes + size
        self._held_bytes = size

    async def read(self, size: int) -> bytes:
        """:return: the next bytes of the call; fewer only at its end
        :raises GRPCError: when a message is too large or truncated
        """
        if size > MAX_MESSAGE_BYTES:
            # grpclib has no limit of its own and would buffer a message of any announced length.
            reason = f"the message exceeds {MAX_MESSAGE_BYTES} bytes"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, reason)
        self.hold(size)
        data = bytearray()
        try:
            # grpclib keeps each frame by itself, which takes much more memory than a frame's bytes
            # if there are few of them.
            while len(data) < size:
                part = await self._read(min(READ_BYTES, size - len(data)))
                if not part:
                    break
                data += part
        except AssertionError:
            raise GRPCError(Status.INVALID_ARGUMENT, "the message is truncated") from None
        if len(data) < size and data:
            raise GRPCError(Status.INVALID_ARGUMENT, "the message is truncated")
        return bytes(data)


def make_server(services: Collection[object]) -> Server:
    """:return: a server that rejects oversized, truncated and malformed messages, and holds a
    limited number of connections, calls and bytes
    """
    server = BoundedServer(services)
    listen(server, RecvRequest, CallLimits().limit_request)
    return server

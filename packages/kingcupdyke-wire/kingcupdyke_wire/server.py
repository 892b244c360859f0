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
from grpclib.server import Server, Stream

__all__ = ["MAX_MESSAGE_BYTES", "make_server"]

#: Size of the largest message that is accepted.
MAX_MESSAGE_BYTES = 16 << 20
#: Interval of HTTP/2 pings on each connection, and time to answer one, in seconds.
_PING_INTERVAL_S = 5.0
_PING_TIMEOUT_S = 10.0
_CONFIGURATION = Configuration(
    _keepalive_time=_PING_INTERVAL_S,
    _keepalive_timeout=_PING_TIMEOUT_S,
    _keepalive_permit_without_calls=True,
)


class CheckedCodec(ProtoCodec):
    """Rejects a message that cannot be decoded with the status INVALID_ARGUMENT."""

    def decode(self, data: bytes, message_type: type[Message]) -> Message:
        try:
            return super().decode(data, message_type)
        except DecodeError:
            raise GRPCError(Status.INVALID_ARGUMENT, f"invalid {message_type.__name__}") from None


def make_server(services: Collection[object]) -> Server:
    """:return: a server that rejects oversized, truncated and malformed messages"""
    server = Server(services, codec=CheckedCodec(), config=_CONFIGURATION)
    listen(server, RecvRequest, _limit_request)
    return server


async def _limit_request(event: RecvRequest) -> None:
    handler = event.method_func

    async def handle_limited(stream: Stream) -> None:
        # grpclib has no limit of its own and would buffer a message of any announced length.
        stream._stream.recv_data = _limit_reader(stream._stream.recv_data)
        try:
            await handler(stream)
        except NotImplementedError as error:
            raise GRPCError(Status.UNIMPLEMENTED, str(error)) from None

    event.method_func = handle_limited


def _limit_reader(read: Callable[[int], Awaitable[bytes]]) -> Callable[[int], Awaitable[bytes]]:
    async def read_limited(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            reason = f"the message exceeds {MAX_MESSAGE_BYTES} bytes"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, reason)
        try:
            data = await read(size)
        except AssertionError:
            raise GRPCError(Status.INVALID_ARGUMENT, "the message is truncated") from None
        if len(data) < size and data:
            raise GRPCError(Status.INVALID_ARGUMENT, "the message is truncated")
        return data

    return read_limited

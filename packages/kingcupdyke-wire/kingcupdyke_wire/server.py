"""
kingcupdyke_wire.server
~~~~~~~~~~~~~~~~~~~~~~~

The grpclib server of a daemon, with bounds for what strangers send.
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

#: Size of the largest message that is taken.
MAX_MESSAGE_BYTES = 16 << 20
#: Seconds after which a connection is asked for a sign of life, and those that it has for it.
_PING_S = 5.0
_PING_TIMEOUT_S = 10.0
_CONFIGURATION = Configuration(
    _keepalive_time=_PING_S,
    _keepalive_timeout=_PING_TIMEOUT_S,
    _keepalive_permit_without_calls=True,
)


class CheckedCodec(ProtoCodec):
    """Gives a caller whose message can't be read a status that says so."""

    def decode(self, data: bytes, message_type: type[Message]) -> Message:
        try:
            return super().decode(data, message_type)
        except DecodeError:
            raise GRPCError(Status.INVALID_ARGUMENT, f"no {message_type.__name__}") from None


def make_server(services: Collection[object]) -> Server:
    """:return: a server that refuses messages which are oversized, cut short or no messages"""
    server = Server(services, codec=CheckedCodec(), config=_CONFIGURATION)
    listen(server, RecvRequest, _bound_request)
    return server


async def _bound_request(event: RecvRequest) -> None:
    answer = event.method_func

    async def answer_bounded(stream: Stream) -> None:
        # grpclib has no bound of its own and would collect whatever length a message announces.
        stream._stream.recv_data = _bound_reader(stream._stream.recv_data)
        try:
            await answer(stream)
        except NotImplementedError as error:
            raise GRPCError(Status.UNIMPLEMENTED, str(error)) from None

    event.method_func = answer_bounded


def _bound_reader(read: Callable[[int], Awaitable[bytes]]) -> Callable[[int], Awaitable[bytes]]:
    async def read_bounded(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            reason = f"the message is over {MAX_MESSAGE_BYTES} bytes"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, reason)
        try:
            data = await read(size)
        except AssertionError:
            raise GRPCError(Status.INVALID_ARGUMENT, "the message is cut short") from None
        if len(data) < size and data:
            raise GRPCError(Status.INVALID_ARGUMENT, "the message is cut short")
        return data

    return read_bounded

"""
kingcupdyke_daemon.gateway.link
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The connection of a gateway to one sidecar.
"""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from functools import partial

from anyio import current_time, fail_after, move_on_after, sleep
from grpclib.client import Channel, Stream

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.host import Host
from kingcupdyke_daemon.gateway.streamwatch import StreamWatch
from kingcupdyke_wire.calls import (
    CALL_ERRORS,
    contain_cancellation,
    log_call_errors,
    uncancel_task,
)
from kingcupdyke_wire.channel import HostChannel
from kingcupdyke_wire.sidecar_grpc import SidecarStub
from kingcupdyke_wire.sidecar_pb2 import (
    BeatReply,
    BeatRequest,
    CancelRequest,
    DescribeReply,
    DescribeRequest,
    Holdings,
    OrderReply,
    OrderRequest,
    RunReply,
    RunRequest,
)

__all__ = ["SidecarLink"]

_LOGGER = logging.getLogger(__name__)

#: Maximum number of times that the stream of one attempt is resumed.
_MAX_RESUMES = 4
_CONNECT_TIMEOUT_S = 1.0
_RECONNECT_DELAY_S = 0.3
_CANCEL_TIMEOUT_S = 1.0


class SidecarLink:
    """Sends heartbeats and attempts to one sidecar, and replaces a stalled connection.

    :param host: the sidecar's host
    :param sender: name of this gateway's host
    :param heartbeat_s: seconds between heartbeats
    :param silence_s: seconds without a message after which the connection is replaced
    :param on_heartbeat: called with each answered heartbeat
    :param on_unresponsive: called when the sidecar does not answer on a new connection either
    :param stream_watch: detects attempts whose stream has stalled
    """

    def __init__(
        self,
        host: Host,
        sender: str,
        heartbeat_s: float,
        silence_s: float,
        on_heartbeat: Callable[["SidecarLink", BeatReply], None],
        on_unresponsive: Callable[["SidecarLink"], None],
        stream_watch: StreamWatch,
    ) -> None:
        self.host = host
        self.peer = f"{host.address}:{host.port}"
        self.last_heartbeat: BeatReply | None = None
        self.holdings = Holdings()
        self.config_version = 0
        #: Number of times that the connection was replaced.
        self.replacement_count = 0
        self._sender = sender
        self._heartbeat_s = heartbeat_s
        self._silence_s = silence_s
        self._on_heartbeat = on_heartbeat
        self._on_unresponsive = on_unresponsive
        self._stream_watch = stream_watch
        self._channel = self._open_channel()

    @property
    def usable(self) -> bool:
        """Whether the sidecar answered the last heartbeat and accepts requests."""
        return self.last_heartbeat is not None and not self.last_heartbeat.load.leaving

    @property
    def incarnation(self) -> str:
        """The sidecar's incarnation by its last heartbeat."""
        return self.last_heartbeat.load.incarnation if self.last_heartbeat else ""

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def replace(self) -> None:
        """Replace the connection, for example after a reply to another request."""
        self._replace_channel()

    async def send_heartbeats_forever(self) -> None:
        """Send heartbeats; replace the connection when it stalls.

        The sidecar is only reported as unresponsive if the new connection fails as well.
        """
        answered = True
        while True:
            previous = self.last_heartbeat
            with log_call_errors(_LOGGER, f"Beat to {self.peer}"):
                await self._send_heartbeats()
            if self.last_heartbeat is previous and not answered:
                self._report_unresponsive()
                await sleep(_RECONNECT_DELAY_S)
            answered = self.last_heartbeat is not previous
            self._replace_channel()

    def _report_unresponsive(self) -> None:
        if self.last_heartbeat is not None:
            self.last_heartbeat = None
            self._on_unresponsive(self)

    async def run(self, request: RunRequest) -> AsyncIterator[RunReply | Failure]:
        """Send an attempt and yield its replies; a broken stream is resumed.

        :param request: the attempt; its resume fields are set here
        :return: replies in order as sent; the last item is an end, a refusal or a failure
        """
        request.incarnation = self.incarnation
        started_s = current_time()
        sent = False
        reason = ""
        for attempt in range(_MAX_RESUMES + 1):
            request.resume = sent
            request.age_ms = int((current_time() - started_s) * 1000)
            channel = self._channel
            try:
                async with SidecarStub(channel).Run.open() as stream:
                    with fail_after(_CONNECT_TIMEOUT_S):
                        await stream.send_request()
                    sent = True
                    await stream.send_message(request, end=True)
                    async with aclosing(self._read_replies(stream, channel)) as replies:
                        async for reply in replies:
                            if reply.WhichOneof("kind") == "part":
                                request.resume_offset = reply.part.offset + 1
                            yield reply
                            if reply.WhichOneof("kind") in ("end", "refusal"):
                                return
                reason = "the stream ended early"
            except CALL_ERRORS as error:
                uncancel_task()
                reason = repr(error)
                if not sent and attempt:
                    break
            self._replace_if_current(channel)
            await sleep(_RECONNECT_DELAY_S if attempt else 0)
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        step = Step.RELAY if sent else Step.CONNECT
        yield Failure(outcome, step, self.peer, reason, None if sent else 1.0)

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt whose answer is not needed; a lost message does no harm."""
        call = f"Cancel to {self.peer}"
        with move_on_after(_CANCEL_TIMEOUT_S), log_call_errors(_LOGGER, call):
            await SidecarStub(self._channel).Cancel(CancelRequest(attempt_id=attempt_id))

    async def describe(self) -> DescribeReply:
        """:return: the state of the endpoint
        :raises CALL_ERRORS: when the sidecar does not answer
        """
        with contain_cancellation():
            return await SidecarStub(self._channel).Describe(DescribeRequest())

    async def order(self, order: OrderRequest, timeout_s: float) -> OrderReply | Failure:
        """Send a planner's order.

        :return: the sidecar's answer, or a failure if it did not answer
        """
        try:
            with contain_cancellation(), fail_after(timeout_s):
                return await SidecarStub(self._channel).Order(order)
        except CALL_ERRORS as error:
            return Failure(Outcome.UNKNOWN, Step.ORDER, self.peer, repr(error))

    def _open_channel(self) -> Channel:
        return HostChannel(self.host.address, self.host.port)

    def _replace_channel(self) -> None:
        self.replacement_count += 1
        self._channel.close()
        self._channel = self._open_channel()

    def _replace_if_current(self, channel: Channel) -> None:
        """Replace the connection unless that was done; all its streams end with an error."""
        if channel is self._channel:
            self._replace_channel()

    async def _read_replies(
        self, stream: Stream[RunRequest, RunReply], channel: Channel
    ) -> AsyncIterator[RunReply]:
        replace_channel = partial(self._replace_if_current, channel)
        while True:
            self._stream_watch.begin(stream, current_time(), replace_channel)
            try:
                reply = await stream.recv_message()
            finally:
                self._stream_watch.end(stream)
            if reply is None:
                return
            yield reply

    async def _send_heartbeats(self) -> None:
        sequence = 0
        known_version = 0
        async with SidecarStub(self._channel).Beat.open() as stream:
            with fail_after(_CONNECT_TIMEOUT_S):
                await stream.send_request()
            while True:
                sequence += 1
                heartbeat = BeatRequest(
                    sequence=sequence,
                    sender=self._sender,
                    config_version=self.config_version,
                    holdings_version=known_version,
                )
                sent_s = current_time()
                with fail_after(self._silence_s):
                    await stream.send_message(heartbeat)
                    reply = await stream.recv_message()
                if reply is None:
                    return
                self.last_heartbeat = reply
                if reply.HasField("holdings"):
                    self.holdings = reply.holdings
                    known_version = reply.holdings.version
                self._on_heartbeat(self, reply)
                await sleep(max(0.0, sent_s + self._heartbeat_s - current_time()))

"""
kingcupdyke_daemon.gateway.link
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The connection of a gateway to one sidecar.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, suppress
from functools import partial

from anyio import current_time, fail_after, move_on_after, sleep
from grpclib.client import Channel, Stream

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.host import Host
from kingcupdyke_daemon.gateway.watch import StreamWatch
from kingcupdyke_wire.calls import CALL_ERRORS, contain_call, take_back_cancel
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

#: Times that one attempt's stream is taken up again.
_MOST_RESUMES = 4
_CONNECT_S = 1.0
_RECONNECT_S = 0.3
_CANCEL_S = 1.0


class SidecarLink:
    """Beats and attempts to one sidecar, over a connection that is replaced when silent.

    :param host: the sidecar's host
    :param sender: name of this gateway's host
    :param beat_s: seconds between heartbeats
    :param silence_s: seconds without a message after which the connection is replaced
    :param on_beat: called with each answered heartbeat
    :param on_silence: called when a new connection does not help either
    :param watch: finds attempts whose stream has gone silent
    """

    def __init__(
        self,
        host: Host,
        sender: str,
        beat_s: float,
        silence_s: float,
        on_beat: Callable[["SidecarLink", BeatReply], None],
        on_silence: Callable[["SidecarLink"], None],
        watch: StreamWatch,
    ) -> None:
        self.host = host
        self.peer = f"{host.address}:{host.port}"
        self.last_beat: BeatReply | None = None
        self.holdings = Holdings()
        self.config_version = 0
        #: Times that a silent connection was replaced.
        self.replaced = 0
        self._sender = sender
        self._beat_s = beat_s
        self._silence_s = silence_s
        self._on_beat = on_beat
        self._on_silence = on_silence
        self._watch = watch
        self._channel = self._open_channel()

    @property
    def usable(self) -> bool:
        """Whether the sidecar answered lately and takes work."""
        return self.last_beat is not None and not self.last_beat.load.leaving

    @property
    def incarnation(self) -> str:
        """The sidecar's incarnation by its last heartbeat."""
        return self.last_beat.load.incarnation if self.last_beat else ""

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def replace(self) -> None:
        """Give up the connection, as after a reply that belongs to nothing."""
        self._replace_channel()

    async def beat_forever(self) -> None:
        """Send heartbeats; replace the connection when it goes silent.

        The sidecar only counts as silent when the new connection does not work either.
        """
        heard = True
        while True:
            before = self.last_beat
            with suppress(*CALL_ERRORS), contain_call():
                await self._beat()
            if self.last_beat is before and not heard:
                self._lose()
                await sleep(_RECONNECT_S)
            heard = self.last_beat is not before
            self._replace_channel()

    def _lose(self) -> None:
        if self.last_beat is not None:
            self.last_beat = None
            self._on_silence(self)

    async def run(self, request: RunRequest) -> AsyncIterator[RunReply | Failure]:
        """Send an attempt and yield its replies; a broken stream is resumed.

        :param request: the attempt; its resume fields are set here
        :return: replies in order as sent; the last item is an end, a refusal or a failure
        """
        request.incarnation = self.incarnation
        begun_s = current_time()
        sent = False
        reason = ""
        for attempt in range(_MOST_RESUMES + 1):
            request.resume = sent
            request.age_ms = int((current_time() - begun_s) * 1000)
            channel = self._channel
            try:
                async with SidecarStub(channel).Run.open() as stream:
                    with fail_after(_CONNECT_S):
                        await stream.send_request()
                    sent = True
                    await stream.send_message(request, end=True)
                    async with aclosing(self._read(stream, channel)) as replies:
                        async for reply in replies:
                            if reply.WhichOneof("kind") == "part":
                                request.resume_offset = reply.part.offset + 1
                            yield reply
                            if reply.WhichOneof("kind") in ("end", "refusal"):
                                return
                reason = "the stream ended early"
            except CALL_ERRORS as error:
                take_back_cancel()
                reason = repr(error)
                if not sent and attempt:
                    break
            self._give_up(channel)
            await sleep(_RECONNECT_S if attempt else 0)
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        step = Step.RELAY if sent else Step.CONNECT
        yield Failure(outcome, step, self.peer, reason, None if sent else 1.0)

    async def cancel(self, attempt_id: str) -> None:
        """Tell the sidecar that nobody waits for an attempt; a lost message does no harm."""
        with move_on_after(_CANCEL_S), suppress(*CALL_ERRORS), contain_call():
            await SidecarStub(self._channel).Cancel(CancelRequest(attempt_id=attempt_id))

    async def describe(self) -> DescribeReply:
        """:return: the state of the endpoint
        :raises CALL_ERRORS: when the sidecar does not answer
        """
        with contain_call():
            return await SidecarStub(self._channel).Describe(DescribeRequest())

    async def order(self, order: OrderRequest, timeout_s: float) -> OrderReply | Failure:
        """Give a planner's order.

        :return: the sidecar's answer, or a failure when none came
        """
        try:
            with contain_call(), fail_after(timeout_s):
                return await SidecarStub(self._channel).Order(order)
        except CALL_ERRORS as error:
            return Failure(Outcome.UNKNOWN, Step.ORDER, self.peer, repr(error))

    def _open_channel(self) -> Channel:
        return Channel(self.host.address, self.host.port)

    def _replace_channel(self) -> None:
        self.replaced += 1
        self._channel.close()
        self._channel = self._open_channel()

    def _give_up(self, channel: Channel) -> None:
        """Replace a connection, unless that was done; ends all its streams with an error."""
        if channel is self._channel:
            self._replace_channel()

    async def _read(
        self, stream: Stream[RunRequest, RunReply], channel: Channel
    ) -> AsyncIterator[RunReply]:
        give_up = partial(self._give_up, channel)
        while True:
            self._watch.begin(stream, current_time(), give_up)
            try:
                reply = await stream.recv_message()
            finally:
                self._watch.end(stream)
            if reply is None:
                return
            yield reply

    async def _beat(self) -> None:
        sequence = 0
        known_version = 0
        async with SidecarStub(self._channel).Beat.open() as stream:
            with fail_after(_CONNECT_S):
                await stream.send_request()
            while True:
                sequence += 1
                beat = BeatRequest(
                    sequence=sequence,
                    sender=self._sender,
                    config_version=self.config_version,
                    holdings_version=known_version,
                )
                sent_s = current_time()
                with fail_after(self._silence_s):
                    await stream.send_message(beat)
                    reply = await stream.recv_message()
                if reply is None:
                    return
                self.last_beat = reply
                if reply.HasField("holdings"):
                    self.holdings = reply.holdings
                    known_version = reply.holdings.version
                self._on_beat(self, reply)
                await sleep(max(0.0, sent_s + self._beat_s - current_time()))

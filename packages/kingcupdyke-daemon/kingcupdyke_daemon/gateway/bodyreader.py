"""
kingcupdyke_daemon.gateway.bodyreader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the bodies of callers' requests, within a limit for the whole process.
"""

from collections.abc import Awaitable, Callable

from anyio import CancelScope, current_time, move_on_after
from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.forwarding.incomingbodies import IncomingBodies, IncomingBody, Room
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.gateway.reply import Rejection, make_rejection

__all__ = ["BodyReader", "Receive"]

Receive = Callable[[], Awaitable[dict]]

#: Longest wait for the next part of a body; after it the gateway answers with 408.
BODY_TIMEOUT_S = 5.0
#: Retry-After of a request whose body does not fit into the limit.
NO_MEMORY_RETRY_S = 0.5


class BodyReader:
    """Reads the bodies of requests.

    :param bodies: all bodies that the process receives
    :param max_body_bytes: limit of the size of one body
    :param host: name of the host, for rejections
    :param timer: the timer service
    """

    def __init__(
        self, bodies: IncomingBodies, max_body_bytes: int, host: str, timer: TimerService
    ) -> None:
        self._bodies = bodies
        self._max_body_bytes = max_body_bytes
        self._host = host
        self._timer = timer

    async def read(
        self, receive: Receive, headers: dict[str, str], timeout_s: float
    ) -> Result[bytes, Rejection | None]:
        """Read a body.

        :param headers: headers of the request
        :param timeout_s: seconds within which all of it must arrive
        :return: the body, whose bytes :meth:`release` returns to the limit; a rejection; or None if
            the caller has left
        """
        scope = CancelScope(deadline=current_time() + timeout_s)

        def give_way(room: Room) -> None:
            scope.cancel()

        body = self._bodies.begin(self._timer.now(), give_way)
        try:
            with scope:
                return await self._receive(body, receive, headers)
        finally:
            body.close()
        if body.has_given_way:
            return Error(self._time_out("the request body is too slow while others need its room"))
        return Error(self._time_out("the request body did not arrive before the deadline"))

    def release(self, body: bytes) -> None:
        """Count a body as released."""
        self._bodies.budget.release_body(len(body))

    async def _receive(
        self, body: IncomingBody, receive: Receive, headers: dict[str, str]
    ) -> Result[bytes, Rejection | None]:
        declared = headers.get("content-length", "")
        size = int(declared) if declared.isdecimal() else 0
        if size > self._max_body_bytes:
            return Error(self._reject_size())
        if not body.take(size, self._timer.now()):
            return Error(self._reject_memory())
        more = True
        while more:
            with move_on_after(BODY_TIMEOUT_S) as timeout_scope:
                message = await receive()
            if timeout_scope.cancelled_caught:
                return Error(self._time_out(f"the request body stalled for {BODY_TIMEOUT_S:g} s"))
            if message["type"] == "http.disconnect":
                return Error(None)
            part = message.get("body", b"")
            more = message.get("more_body", False)
            if body.received_bytes + len(part) > self._max_body_bytes:
                return Error(self._reject_size())
            if not body.add(part, self._timer.now()):
                return Error(self._reject_memory())
        return Ok(body.hand_over())

    def _time_out(self, reason: str) -> Rejection:
        return Rejection(408, "body_timeout", self._make_failure(reason))

    def _reject_size(self) -> Rejection:
        reason = f"the request body exceeds {self._max_body_bytes} bytes"
        return Rejection(413, "body_too_large", self._make_failure(reason))

    def _reject_memory(self) -> Rejection:
        reason = "the gateway holds too many bytes of requests"
        failure = Failure(Outcome.NOT_RUN, Step.ADMIT, self._host, reason, NO_MEMORY_RETRY_S)
        return make_rejection(failure)

    def _make_failure(self, reason: str) -> Failure:
        return Failure(Outcome.NOT_RUN, Step.PARSE, self._host, reason, None)

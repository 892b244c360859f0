"""
kingcupdyke_daemon.gateway.limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Waiting for admission, one queue a target.
"""

from anyio import Event, get_cancelled_exc_class
from expression import Error, Ok, Result

from kingcupdyke.admission import AdmissionQueue, Admitted, Refused
from kingcupdyke.error import Failure
from kingcupdyke.request import Request
from kingcupdyke.timer import TimerService

__all__ = ["AdmissionController"]

#: Seconds between looks for queued requests that can no longer be in time.
_EXPIRE_S = 0.02


class _Ticket:
    """A request that waits."""

    def __init__(self) -> None:
        self.decided = Event()
        self.failure: Failure | None = None


class AdmissionController:
    """Admits requests within the capacity of their target.

    :param most_waiting: requests that wait at most, for one target
    :param timer: the timer service
    :param enabled: False admits everything at once
    """

    def __init__(self, most_waiting: int, timer: TimerService, enabled: bool) -> None:
        self._most_waiting = most_waiting
        self._timer = timer
        self._enabled = enabled
        self._tickets_by_request: dict[str, _Ticket] = {}
        self.queues_by_target: dict[str, AdmissionQueue] = {}
        timer.subscribe("admission", _EXPIRE_S, self._expire)

    async def enter(
        self, request: Request, capacity: int, estimate_s: float, weight: float
    ) -> Result[None, Failure]:
        """Wait until a request may run.

        :param capacity: requests that the target can run at once, as seen from here
        :param estimate_s: seconds that the request takes once it runs
        :param weight: share of the caller
        :return: nothing once admitted, or the final failure at once when it is hopeless
        """
        if not self._enabled:
            return Ok(None)
        queue = self._queue(request.target, capacity)
        answer = queue.offer(request, estimate_s, self._timer.now(), weight)
        if isinstance(answer, Admitted):
            return Ok(None)
        if isinstance(answer, Refused):
            return Error(answer.failure)
        ticket = _Ticket()
        self._tickets_by_request[request.request_id] = ticket
        try:
            await ticket.decided.wait()
        except get_cancelled_exc_class():
            self._wake(queue.cancelled(request.request_id, self._timer.now()))
            raise
        finally:
            self._tickets_by_request.pop(request.request_id, None)
        return Ok(None) if ticket.failure is None else Error(ticket.failure)

    def leave(self, request: Request) -> None:
        """A request that was admitted has ended."""
        queue = self.queues_by_target.get(request.target)
        if queue is not None and self._enabled:
            self._wake(queue.finished(request.request_id, self._timer.now()))

    def _queue(self, target: str, capacity: int) -> AdmissionQueue:
        queue = self.queues_by_target.get(target)
        if queue is None:
            queue = AdmissionQueue(capacity, self._most_waiting)
            self.queues_by_target[target] = queue
        queue.set_capacity(capacity)
        # More capacity is for those that wait, before anyone new.
        self._wake(queue.admit(self._timer.now()))
        return queue

    def _wake(self, admitted: list[Request]) -> None:
        for request in admitted:
            ticket = self._tickets_by_request.get(request.request_id)
            if ticket is not None:
                ticket.decided.set()

    def _expire(self, now_s: float) -> None:
        if not self._tickets_by_request:
            return
        for queue in self.queues_by_target.values():
            for request, failure in queue.expire(now_s):
                ticket = self._tickets_by_request.get(request.request_id)
                if ticket is not None:
                    ticket.failure = failure
                    ticket.decided.set()

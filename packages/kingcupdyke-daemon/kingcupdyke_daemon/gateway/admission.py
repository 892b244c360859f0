"""
kingcupdyke_daemon.gateway.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Admission of requests, with one queue per target.
"""

from anyio import Event, get_cancelled_exc_class
from expression import Error, Ok, Result

from kingcupdyke.admission import AdmissionQueue, Admitted, Refused
from kingcupdyke.error import Failure
from kingcupdyke.request import Request
from kingcupdyke.timer import TimerService

__all__ = ["AdmissionController"]

#: Interval between checks for queued requests that can no longer meet their deadline.
_EXPIRE_INTERVAL_S = 0.02


class _Ticket:
    """A request that waits in an admission queue."""

    def __init__(self) -> None:
        self.decided = Event()
        self.failure: Failure | None = None


class AdmissionController:
    """Admits requests within the capacity of their target.

    :param max_waiting: maximum number of waiting requests per target
    :param timer: the timer service
    :param enabled: False admits every request immediately
    """

    def __init__(self, max_waiting: int, timer: TimerService, enabled: bool) -> None:
        self._max_waiting = max_waiting
        self._timer = timer
        self._enabled = enabled
        self._tickets_by_request: dict[str, _Ticket] = {}
        self.queues_by_target: dict[str, AdmissionQueue] = {}
        timer.subscribe("admission", _EXPIRE_INTERVAL_S, self._expire)

    async def enter(
        self, request: Request, capacity: int, estimate_s: float, weight: float
    ) -> Result[None, Failure]:
        """Wait until a request may run.

        :param capacity: number of requests that this gateway may run at the target concurrently
        :param estimate_s: expected duration of the request in seconds once admitted
        :param weight: the caller's share under contention
        :return: nothing once admitted, or the failure of a refused or expired request
        """
        if not self._enabled:
            return Ok(None)
        queue = self._get_queue(request.target, capacity)
        decision = queue.offer(request, estimate_s, self._timer.now(), weight)
        if isinstance(decision, Admitted):
            return Ok(None)
        if isinstance(decision, Refused):
            return Error(decision.failure)
        ticket = _Ticket()
        self._tickets_by_request[request.request_id] = ticket
        try:
            await ticket.decided.wait()
        except get_cancelled_exc_class():
            self._wake_admitted(queue.cancelled(request.request_id, self._timer.now()))
            raise
        finally:
            self._tickets_by_request.pop(request.request_id, None)
        return Ok(None) if ticket.failure is None else Error(ticket.failure)

    def leave(self, request: Request) -> None:
        """Release the capacity of an admitted request that has ended."""
        queue = self.queues_by_target.get(request.target)
        if queue is not None and self._enabled:
            self._wake_admitted(queue.finished(request.request_id, self._timer.now()))

    def _get_queue(self, target: str, capacity: int) -> AdmissionQueue:
        queue = self.queues_by_target.get(target)
        if queue is None:
            queue = AdmissionQueue(capacity, self._max_waiting)
            self.queues_by_target[target] = queue
        queue.set_capacity(capacity)
        # Waiting requests get added capacity before a new request does.
        self._wake_admitted(queue.admit(self._timer.now()))
        return queue

    def _wake_admitted(self, admitted: list[Request]) -> None:
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

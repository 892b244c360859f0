"""
kingcupdyke.admission
~~~~~~~~~~~~~~~~~~~~~

Admission of requests by class, caller and deadline, with a bounded queue.
"""

from typing import NamedTuple

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.fairness import FairQueue, QueueEntry
from kingcupdyke.forecast import EstimateCorrection, Forecast
from kingcupdyke.request import Request
from kingcupdyke.rule import ServiceClass
from kingcupdyke.util import get_int_opt

__all__ = ["Admitted", "AdmissionQueue", "Queued", "Refused"]

#: Interactive requests that are admitted for each batch request while both classes are queued.
INTERACTIVE_PER_BATCH = 7
#: Largest share of the capacity for batch requests, unless the interactive class is idle.
MAX_BATCH_CAPACITY_SHARE = 0.75
#: Largest share of the queue for batch requests.
MAX_BATCH_QUEUE_SHARE = 0.75
#: A class counts as idle when no request of it was offered for this many seconds. Then no capacity
#: is left free for it, and estimated waits assume that no more requests of it arrive.
CLASS_IDLE_S = 30.0
#: Smallest ``retry_after_s`` of a refusal, in seconds.
MIN_RETRY_AFTER_S = 0.1
#: Largest ``retry_after_s`` of a refusal, in seconds.
MAX_RETRY_AFTER_S = 60.0
#: A queued request is refused when its estimated finish is later than its deadline by more than
#: this, in seconds.
LATE_TOLERANCE_S = 0.001
#: Fraction added to the estimated wait of an offered request, so that few queued requests are
#: refused later.
WAIT_ESTIMATE_MARGIN = 0.1


class Admitted(NamedTuple):
    """The request may be sent immediately."""

    request: Request


class Queued(NamedTuple):
    """The request was queued; a later call such as ``finished`` or ``expire`` returns it."""

    request: Request
    #: Estimated seconds until the request is sent.
    wait_s: float


class Refused(NamedTuple):
    """The request was refused; the caller gets the failure immediately."""

    request: Request
    failure: Failure


class _Running(NamedTuple):
    """A request in progress, which occupies one unit of capacity."""

    service_class: str
    started_s: float
    #: Estimated duration in seconds.
    estimate_s: float


class AdmissionQueue:
    """Limits the requests in progress to ``capacity`` and the queue to ``most_waiting``.

    Interactive requests are admitted before batch requests, which get at least one admission in
    eight. Within a class, callers share the capacity by weight. A request whose estimated finish
    is past its deadline is refused when it is offered, or as soon as the estimate shows it.

    :param capacity: maximum number of requests in progress
    :param most_waiting: maximum number of queued requests of all classes
    :raises OptionError: when ``capacity`` is below one or ``most_waiting`` below zero
    """

    def __init__(self, capacity: int, most_waiting: int) -> None:
        self._capacity = get_int_opt({"capacity": capacity}, "capacity", least=1)
        self._most_waiting = get_int_opt({"most_waiting": most_waiting}, "most_waiting")
        self._running_by_id: dict[str, _Running] = {}
        self._running_by_class = dict.fromkeys(ServiceClass.ALL, 0)
        self._queue_by_class = {each: FairQueue() for each in ServiceClass.ALL}
        self._correction = EstimateCorrection()
        self._interactive_in_row = 0
        #: Time of the last offer of each class, in seconds; the first offer sets all classes.
        self._offered_s_by_class: dict[str, float] = {}
        #: Queued requests that were refused and not yet returned by :meth:`expire`.
        self._refused: list[tuple[Request, Failure]] = []

    @property
    def running(self) -> dict[str, int]:
        """:return: number of requests in progress, by class"""
        return dict(self._running_by_class)

    @property
    def waiting(self) -> dict[str, int]:
        """:return: number of queued requests, by class"""
        return {each: len(queue) for each, queue in self._queue_by_class.items()}

    def offer(
        self, request: Request, estimate_s: float, now_s: float, weight: float = 1.0
    ) -> Admitted | Queued | Refused:
        """Decide on a request that has arrived.

        :param request: the request; its ``request_id`` must not be queued or in progress
        :param estimate_s: estimated seconds from sending the request to the end of its answer
        :param now_s: time in seconds
        :param weight: share of its caller under contention, above zero
        :return: admitted, queued or refused; a refused request has not run
        :raises ValueError: when the ``request_id`` is already queued or in progress
        """
        if self._contains(request.request_id):
            raise ValueError(f"request {request.request_id!r} was offered twice")
        service_class = _get_class(request)
        if not self._offered_s_by_class:
            self._offered_s_by_class = dict.fromkeys(ServiceClass.ALL, now_s)
        self._offered_s_by_class[service_class] = now_s
        queue = self._queue_by_class[service_class]
        can_start = not len(queue) and self._has_free_capacity(service_class, now_s)
        entry = queue.make_entry(request, estimate_s, weight)
        wait_s = 0.0
        if not can_start:
            position = self._get_position(
                service_class, queue.rank(entry), now_s, assume_arrivals=True
            )
            wait_s = (1.0 + WAIT_ESTIMATE_MARGIN) * self._forecast(now_s).get_wait(position)
        late_s = now_s + wait_s + estimate_s - request.deadline_s
        if late_s > 0:
            return Refused(
                request, _make_refusal("its estimated finish is past its deadline", late_s)
            )
        if can_start:
            self._start(entry, now_s)
            return Admitted(request)
        if not self._make_queue_space(entry, service_class):
            return Refused(request, _make_refusal("the queue is full", max(wait_s, estimate_s)))
        queue.push(entry)
        return Queued(request, wait_s)

    def finished(self, request_id: str, now_s: float) -> list[Request]:
        """Release the capacity of a request that ended.

        :param now_s: time in seconds
        :return: the requests that are admitted now
        """
        ended = self._stop(request_id)
        if ended is not None:
            self._correction.learn(ended.estimate_s, now_s - ended.started_s)
        return self.admit(now_s)

    def cancelled(self, request_id: str, now_s: float) -> list[Request]:
        """Remove a cancelled request, whether it is queued or in progress.

        :param now_s: time in seconds
        :return: the requests that are admitted now
        """
        self._stop(request_id)
        for queue in self._queue_by_class.values():
            queue.remove(request_id)
        self._refused = [each for each in self._refused if each[0].request_id != request_id]
        return self.admit(now_s)

    def expire(self, now_s: float) -> list[tuple[Request, Failure]]:
        """Remove queued requests whose estimated finish is past the deadline.

        To be called every few milliseconds, and after each other call, which may have refused
        queued requests.

        :param now_s: time in seconds
        :return: all requests refused since the last call, each with the failure for its caller
        """
        if any(map(len, self._queue_by_class.values())):
            self._refuse_late(now_s)
        refused, self._refused = self._refused, []
        return refused

    def set_capacity(self, capacity: int) -> None:
        """Change the capacity.

        Requests in progress continue. Added capacity is used by the next call of :meth:`admit`.

        :raises OptionError: when it is below one
        """
        self._capacity = get_int_opt({"capacity": capacity}, "capacity", least=1)

    def admit(self, now_s: float) -> list[Request]:
        """Admit queued requests while there is capacity for them.

        :param now_s: time in seconds
        :return: the requests that are admitted now
        """
        admitted = []
        while (service_class := self._next_class(now_s)) is not None:
            entry = self._queue_by_class[service_class].pop()
            late_s = now_s + entry.estimate_s - entry.request.deadline_s
            if late_s > 0:
                self._refuse_entry(entry, late_s)
                continue
            self._count_admission(service_class)
            self._start(entry, now_s)
            admitted.append(entry.request)
        return admitted

    def _refuse_late(self, now_s: float) -> None:
        forecast = self._forecast(now_s)
        for service_class, queue in self._queue_by_class.items():
            rank = 0
            for entry in queue.ordered():
                position = self._get_position(service_class, rank, now_s, assume_arrivals=False)
                wait_s = forecast.get_wait(position)
                late_s = now_s + wait_s + entry.estimate_s - entry.request.deadline_s
                if late_s > LATE_TOLERANCE_S:
                    queue.remove(entry.request.request_id)
                    self._refuse_entry(entry, late_s)
                else:
                    rank += 1

    def _contains(self, request_id: str) -> bool:
        is_queued = any(request_id in queue for queue in self._queue_by_class.values())
        return is_queued or request_id in self._running_by_id

    def _start(self, entry: QueueEntry, now_s: float) -> None:
        running = _Running(_get_class(entry.request), now_s, entry.estimate_s)
        self._running_by_id[entry.request.request_id] = running
        self._running_by_class[running.service_class] += 1

    def _stop(self, request_id: str) -> _Running | None:
        ended = self._running_by_id.pop(request_id, None)
        if ended is not None:
            self._running_by_class[ended.service_class] -= 1
        return ended

    def _get_limit(self, service_class: str, now_s: float) -> int:
        """:return: maximum number of requests of a class in progress"""
        if service_class == ServiceClass.INTERACTIVE:
            return self._capacity
        if now_s - self._offered_s_by_class[ServiceClass.INTERACTIVE] > CLASS_IDLE_S:
            return self._capacity
        return max(1, int(self._capacity * MAX_BATCH_CAPACITY_SHARE))

    def _has_free_capacity(self, service_class: str, now_s: float) -> bool:
        if len(self._running_by_id) >= self._capacity:
            return False
        return self._running_by_class[service_class] < self._get_limit(service_class, now_s)

    def _next_class(self, now_s: float) -> str | None:
        ready = [
            each
            for each in ServiceClass.ALL
            if len(self._queue_by_class[each]) and self._has_free_capacity(each, now_s)
        ]
        if len(ready) > 1 and self._interactive_in_row >= INTERACTIVE_PER_BATCH:
            return ServiceClass.BATCH
        return ready[0] if ready else None

    def _count_admission(self, service_class: str) -> None:
        if service_class == ServiceClass.INTERACTIVE:
            self._interactive_in_row += 1
        else:
            self._interactive_in_row = 0

    def _forecast(self, now_s: float) -> Forecast:
        remaining_s = [
            each.started_s + self._correction.correct(each.estimate_s) - now_s
            for each in self._running_by_id.values()
        ]
        waiting = sum(self.waiting.values())
        work_s = sum(queue.total_estimate_s for queue in self._queue_by_class.values())
        mean_s = self._correction.correct(work_s / waiting) if waiting else 0.0
        return Forecast.make(remaining_s, self._capacity, mean_s)

    def _get_position(
        self, service_class: str, rank: int, now_s: float, assume_arrivals: bool
    ) -> int:
        """:return: number of queued requests, of all classes, that are admitted earlier

        :param rank: number of requests ahead in the same class
        :param assume_arrivals: whether to count requests of the other class that may still arrive
            and be admitted earlier; otherwise only those that are queued
        """
        if service_class == ServiceClass.INTERACTIVE:
            other = ServiceClass.BATCH
            other_ahead = (rank + self._interactive_in_row) // INTERACTIVE_PER_BATCH
        else:
            other = ServiceClass.INTERACTIVE
            other_ahead = max(0, INTERACTIVE_PER_BATCH * (rank + 1) - self._interactive_in_row)
        if assume_arrivals and now_s - self._offered_s_by_class[other] <= CLASS_IDLE_S:
            return rank + other_ahead
        return rank + min(other_ahead, len(self._queue_by_class[other]))

    def _make_queue_space(self, entry: QueueEntry, service_class: str) -> bool:
        """Make space for an entry, if needed by evicting a queued request.

        The victim is a batch request, or one of a caller that uses a larger share of the queue.

        :return: whether there is space
        """
        batch = self._queue_by_class[ServiceClass.BATCH]
        queue = self._queue_by_class[service_class]
        total = sum(map(len, self._queue_by_class.values()))
        max_batch = int(self._most_waiting * MAX_BATCH_QUEUE_SHARE)
        if service_class == ServiceClass.BATCH and len(batch) >= max_batch:
            return self._evict(queue, queue.find_victim(entry))
        if total < self._most_waiting:
            return True
        if service_class == ServiceClass.INTERACTIVE and len(batch):
            return self._evict(batch, batch.last())
        return self._evict(queue, queue.find_victim(entry))

    def _evict(self, queue: FairQueue, victim: QueueEntry | None) -> bool:
        if victim is None:
            return False
        queue.remove(victim.request.request_id)
        failure = _make_refusal(
            "the queue is full and the request was evicted for another one", victim.estimate_s
        )
        self._refused.append((victim.request, failure))
        return True

    def _refuse_entry(self, entry: QueueEntry, late_s: float) -> None:
        failure = _make_refusal("its estimated finish is past its deadline", late_s)
        self._refused.append((entry.request, failure))


def _get_class(request: Request) -> str:
    if request.service_class == ServiceClass.INTERACTIVE:
        return ServiceClass.INTERACTIVE
    return ServiceClass.BATCH


def _make_refusal(reason: str, retry_after_s: float) -> Failure:
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
    return Failure(Outcome.NOT_RUN, Step.ADMIT, "admission", reason, retry_after_s)

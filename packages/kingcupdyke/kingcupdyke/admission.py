"""
kingcupdyke.admission
~~~~~~~~~~~~~~~~~~~~~

Admitting requests by class, caller and deadline, with a bounded queue.
"""

from typing import NamedTuple

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.fairness import FairQueue, Waiting
from kingcupdyke.forecast import Forecast, Pace
from kingcupdyke.request import Request
from kingcupdyke.rule import ServiceClass
from kingcupdyke.util import get_int_opt

__all__ = ["Admitted", "AdmissionQueue", "Queued", "Refused"]

#: Interactive requests that may go before one batch request while both wait.
INTERACTIVE_PER_BATCH = 7
#: Share of the capacity that batch work may hold while there is interactive work.
BATCH_SHARE = 0.75
#: Share of the waiting places that batch work may hold.
BATCH_WAITING_SHARE = 0.75
#: Seconds without a request of a class after which the other need not allow for it.
QUIET_S = 30.0
#: Shortest ``retry_after_s``, in seconds.
LEAST_RETRY_S = 0.1
#: Longest ``retry_after_s``, in seconds.
MOST_RETRY_S = 60.0
#: Lateness of a waiting request that is not acted on, in seconds.
LATE_TOLERANCE_S = 0.001
#: Part added to an estimated wait when a request is offered, so that few become late afterwards.
WAIT_MARGIN = 0.1


class Admitted(NamedTuple):
    """Send the request now."""

    request: Request


class Queued(NamedTuple):
    """The request waits; a later call such as ``finished`` or ``expire`` returns it."""

    request: Request
    #: Estimated seconds until it is sent.
    wait_s: float


class Refused(NamedTuple):
    """Answer the caller at once."""

    request: Request
    failure: Failure


class _Running(NamedTuple):
    """A request that holds capacity."""

    service_class: str
    started_s: float
    #: Seconds that it takes, as estimated.
    estimate_s: float


class AdmissionQueue:
    """Holds at most ``capacity`` requests in progress and ``most_waiting`` in the queue.

    Interactive work goes before batch work, which gets at least one in eight. Within a class,
    callers share by weight. A request whose estimated finish is past its deadline is refused
    when it is offered, or as soon as that becomes known.

    :param capacity: requests in progress at once
    :param most_waiting: requests in the queue over all classes
    :raises OptionError: when ``capacity`` is below one or ``most_waiting`` below zero
    """

    def __init__(self, capacity: int, most_waiting: int) -> None:
        self._capacity = get_int_opt({"capacity": capacity}, "capacity", least=1)
        self._most_waiting = get_int_opt({"most_waiting": most_waiting}, "most_waiting")
        self._running_by_id: dict[str, _Running] = {}
        self._running_by_class = dict.fromkeys(ServiceClass.ALL, 0)
        self._queue_by_class = {each: FairQueue() for each in ServiceClass.ALL}
        self._pace = Pace()
        self._interactive_in_row = 0
        #: Time of the last offer of each class; the first offer of any stands for all.
        self._offered_s_by_class: dict[str, float] = {}
        #: Waiting requests that were given up and not yet handed out by :meth:`expire`.
        self._refused: list[tuple[Request, Failure]] = []

    @property
    def running(self) -> dict[str, int]:
        """:return: requests in progress, by class"""
        return dict(self._running_by_class)

    @property
    def waiting(self) -> dict[str, int]:
        """:return: requests in the queue, by class"""
        return {each: len(queue) for each, queue in self._queue_by_class.items()}

    def offer(
        self, request: Request, estimate_s: float, now_s: float, weight: float = 1.0
    ) -> Admitted | Queued | Refused:
        """Decide on a request that has arrived.

        :param request: its ``request_id`` must be in use nowhere else
        :param estimate_s: seconds from sending it to the end of its answer
        :param now_s: time in seconds
        :param weight: share of its caller under contention, above zero
        :return: admitted, queued or refused; a refusal is true, the request has not run
        :raises ValueError: when the ``request_id`` is in progress or waits already
        """
        if self._knows(request.request_id):
            raise ValueError(f"request {request.request_id!r} was offered twice")
        service_class = _get_class(request)
        if not self._offered_s_by_class:
            self._offered_s_by_class = dict.fromkeys(ServiceClass.ALL, now_s)
        self._offered_s_by_class[service_class] = now_s
        queue = self._queue_by_class[service_class]
        free = not len(queue) and self._has_room(service_class, now_s)
        entry = queue.make_entry(request, estimate_s, weight)
        wait_s = 0.0
        if not free:
            place = self._get_place(service_class, queue.rank(entry), now_s, cautious=True)
            wait_s = (1.0 + WAIT_MARGIN) * self._forecast(now_s).get_wait(place)
        late_s = now_s + wait_s + estimate_s - request.deadline_s
        if late_s > 0:
            return Refused(request, _refuse("its estimated finish is past its deadline", late_s))
        if free:
            self._start(entry, now_s)
            return Admitted(request)
        if not self._make_place(entry, service_class):
            return Refused(request, _refuse("the queue is full", max(wait_s, estimate_s)))
        queue.push(entry)
        return Queued(request, wait_s)

    def finished(self, request_id: str, now_s: float) -> list[Request]:
        """Free the capacity of a request that ended.

        :param now_s: time in seconds
        :return: the requests that are admitted now
        """
        ended = self._stop(request_id)
        if ended is not None:
            self._pace.learn(ended.estimate_s, now_s - ended.started_s)
        return self.admit(now_s)

    def cancelled(self, request_id: str, now_s: float) -> list[Request]:
        """Drop a request, whether it waits or is in progress.

        :param now_s: time in seconds
        :return: the requests that are admitted now
        """
        self._stop(request_id)
        for queue in self._queue_by_class.values():
            queue.remove(request_id)
        self._refused = [each for each in self._refused if each[0].request_id != request_id]
        return self.admit(now_s)

    def expire(self, now_s: float) -> list[tuple[Request, Failure]]:
        """Take out waiting requests whose finish can no longer be in time.

        To be called every few milliseconds and after each call that gave other results.

        :param now_s: time in seconds
        :return: them, each with the failure for its caller
        """
        if any(map(len, self._queue_by_class.values())):
            self._give_up_late(now_s)
        refused, self._refused = self._refused, []
        return refused

    def set_capacity(self, capacity: int) -> None:
        """Change the capacity; what is in progress goes on. :meth:`admit` uses what was added.

        :raises OptionError: when it is below one
        """
        self._capacity = get_int_opt({"capacity": capacity}, "capacity", least=1)

    def admit(self, now_s: float) -> list[Request]:
        """:return: waiting requests that are admitted now

        :param now_s: time in seconds
        """
        admitted = []
        while (service_class := self._next_class(now_s)) is not None:
            entry = self._queue_by_class[service_class].pop()
            late_s = now_s + entry.estimate_s - entry.request.deadline_s
            if late_s > 0:
                self._give_up(entry, late_s)
                continue
            self._count_turn(service_class)
            self._start(entry, now_s)
            admitted.append(entry.request)
        return admitted

    def _give_up_late(self, now_s: float) -> None:
        forecast = self._forecast(now_s)
        for service_class, queue in self._queue_by_class.items():
            rank = 0
            for entry in queue.ordered():
                place = self._get_place(service_class, rank, now_s, cautious=False)
                wait_s = forecast.get_wait(place)
                late_s = now_s + wait_s + entry.estimate_s - entry.request.deadline_s
                if late_s > LATE_TOLERANCE_S:
                    queue.remove(entry.request.request_id)
                    self._give_up(entry, late_s)
                else:
                    rank += 1

    def _knows(self, request_id: str) -> bool:
        waits = any(request_id in queue for queue in self._queue_by_class.values())
        return waits or request_id in self._running_by_id

    def _start(self, entry: Waiting, now_s: float) -> None:
        running = _Running(_get_class(entry.request), now_s, entry.estimate_s)
        self._running_by_id[entry.request.request_id] = running
        self._running_by_class[running.service_class] += 1

    def _stop(self, request_id: str) -> _Running | None:
        ended = self._running_by_id.pop(request_id, None)
        if ended is not None:
            self._running_by_class[ended.service_class] -= 1
        return ended

    def _get_limit(self, service_class: str, now_s: float) -> int:
        """:return: requests of a class that may be in progress at once"""
        if service_class == ServiceClass.INTERACTIVE:
            return self._capacity
        if now_s - self._offered_s_by_class[ServiceClass.INTERACTIVE] > QUIET_S:
            return self._capacity
        return max(1, int(self._capacity * BATCH_SHARE))

    def _has_room(self, service_class: str, now_s: float) -> bool:
        if len(self._running_by_id) >= self._capacity:
            return False
        return self._running_by_class[service_class] < self._get_limit(service_class, now_s)

    def _next_class(self, now_s: float) -> str | None:
        ready = [
            each
            for each in ServiceClass.ALL
            if len(self._queue_by_class[each]) and self._has_room(each, now_s)
        ]
        if len(ready) > 1 and self._interactive_in_row >= INTERACTIVE_PER_BATCH:
            return ServiceClass.BATCH
        return ready[0] if ready else None

    def _count_turn(self, service_class: str) -> None:
        if service_class == ServiceClass.INTERACTIVE:
            self._interactive_in_row += 1
        else:
            self._interactive_in_row = 0

    def _forecast(self, now_s: float) -> Forecast:
        left = [
            each.started_s + self._pace.correct(each.estimate_s) - now_s
            for each in self._running_by_id.values()
        ]
        waiting = sum(self.waiting.values())
        work_s = sum(queue.total_estimate_s for queue in self._queue_by_class.values())
        mean_s = self._pace.correct(work_s / waiting) if waiting else 0.0
        return Forecast.make(left, self._capacity, mean_s)

    def _get_place(self, service_class: str, rank: int, now_s: float, cautious: bool) -> int:
        """:return: requests of all classes that go before the one of this rank in its class

        :param cautious: count those of the other class too that may still come
        """
        if service_class == ServiceClass.INTERACTIVE:
            other = ServiceClass.BATCH
            turns = (rank + self._interactive_in_row) // INTERACTIVE_PER_BATCH
        else:
            other = ServiceClass.INTERACTIVE
            turns = max(0, INTERACTIVE_PER_BATCH * (rank + 1) - self._interactive_in_row)
        if cautious and now_s - self._offered_s_by_class[other] <= QUIET_S:
            return rank + turns
        return rank + min(turns, len(self._queue_by_class[other]))

    def _make_place(self, entry: Waiting, service_class: str) -> bool:
        """Find a place in the queue, by giving up a batch request or one of a greedier caller."""
        batch = self._queue_by_class[ServiceClass.BATCH]
        queue = self._queue_by_class[service_class]
        total = sum(map(len, self._queue_by_class.values()))
        most_batch = int(self._most_waiting * BATCH_WAITING_SHARE)
        if service_class == ServiceClass.BATCH and len(batch) >= most_batch:
            return self._displace(queue, queue.find_greedier(entry))
        if total < self._most_waiting:
            return True
        if service_class == ServiceClass.INTERACTIVE and len(batch):
            return self._displace(batch, batch.last())
        return self._displace(queue, queue.find_greedier(entry))

    def _displace(self, queue: FairQueue, victim: Waiting | None) -> bool:
        if victim is None:
            return False
        queue.remove(victim.request.request_id)
        failure = _refuse("the queue is full and its place went to another", victim.estimate_s)
        self._refused.append((victim.request, failure))
        return True

    def _give_up(self, entry: Waiting, late_s: float) -> None:
        failure = _refuse("its estimated finish is past its deadline", late_s)
        self._refused.append((entry.request, failure))


def _get_class(request: Request) -> str:
    if request.service_class == ServiceClass.INTERACTIVE:
        return ServiceClass.INTERACTIVE
    return ServiceClass.BATCH


def _refuse(reason: str, retry_after_s: float) -> Failure:
    retry_after_s = min(MOST_RETRY_S, max(LEAST_RETRY_S, retry_after_s))
    return Failure(Outcome.NOT_RUN, Step.ADMIT, "admission", reason, retry_after_s)

"""
kingcupdyke_daemon.forwarder.queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queue of the requests that wait for a decision of the dispatcher.
"""

from anyio import Event

from kingcupdyke.forwarding.decision import Decision, Refuse, Send, Wait
from kingcupdyke.forwarding.dispatcher import Dispatcher
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke.timer import TimerService

__all__ = ["WaitingQueue"]

#: Interval in seconds between decisions on waiting requests when nothing else changes.
POLL_INTERVAL_S = 0.025
#: Largest share of the time that is spent on decisions that take longer than the second value, as
#: long as this does not delay the next ones by more than the third.
MAX_POLL_SHARE = 0.2
LONG_POLL_S = 0.001
MAX_POLL_DELAY_S = 0.25


class WaitingQueue:
    """Wakes the tasks of waiting requests when the dispatcher decides on them.

    :param dispatcher: decides where requests are sent
    :param timer: the timer service, which polls while requests wait
    :param name: unique name of the queue's subscription
    """

    def __init__(self, dispatcher: Dispatcher, timer: TimerService, name: str = "queue") -> None:
        self._dispatcher = dispatcher
        self._timer = timer
        self._name = name
        self._is_polled = False
        #: Time in seconds until which no decisions are asked for.
        self._rests_until_s = 0.0
        self._event_by_attempt: dict[str, Event] = {}
        self._decision_by_attempt: dict[str, Send | Refuse] = {}
        #: Set when a request starts to wait. The task that notifies peers waits for the event, then
        #: replaces it with a new one.
        self.demand_changed = Event()

    def submit(self, item: WorkItem, excluded: frozenset[str]) -> Decision:
        """:return: the decision on a request; after a ``Wait``, call :meth:`wait`"""
        decision = self._dispatcher.submit(item, excluded, self._timer.now())
        if isinstance(decision, Wait):
            self.demand_changed.set()
            self._begin_polls()
        return decision

    async def wait(self, attempt_id: str) -> Send | Refuse:
        """:return: the decision on a waiting request, once the dispatcher has made it"""
        event = self._event_by_attempt[attempt_id] = Event()
        decision = None
        try:
            await event.wait()
            decision = self._decision_by_attempt[attempt_id]
            return decision
        finally:
            self._dispatcher.withdraw(attempt_id)
            self._event_by_attempt.pop(attempt_id, None)
            granted = self._decision_by_attempt.pop(attempt_id, None)
            if decision is None and isinstance(granted, Send):
                # The client disconnected just after the request was assigned to an endpoint.
                self._dispatcher.cancel(attempt_id, granted.endpoint)

    def poll(self, now_s: float) -> None:
        """Ask the dispatcher for new decisions and wake the requests concerned.

        The more requests wait, the longer that takes and the more events ask for it. Within the
        delay after a long one it is left to the timer.
        """
        if not self._dispatcher.waiting:
            self._end_polls()
            return
        began_s = self._timer.now()
        if began_s < self._rests_until_s:
            return
        self._wake_decided(now_s)
        seconds = self._timer.now() - began_s
        if seconds > LONG_POLL_S:
            self._rests_until_s = began_s + min(seconds / MAX_POLL_SHARE, MAX_POLL_DELAY_S)

    def _wake_decided(self, now_s: float) -> None:
        for attempt_id, decision in self._dispatcher.poll(now_s).items():
            event = self._event_by_attempt.get(attempt_id)
            if event is not None:
                self._decision_by_attempt[attempt_id] = decision
                event.set()

    def _begin_polls(self) -> None:
        if not self._is_polled:
            self._is_polled = True
            self._timer.subscribe(self._name, POLL_INTERVAL_S, self.poll)

    def _end_polls(self) -> None:
        if self._is_polled:
            self._is_polled = False
            self._timer.unsubscribe(self._name)

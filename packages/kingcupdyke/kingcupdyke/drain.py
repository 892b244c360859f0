"""
kingcupdyke.drain
~~~~~~~~~~~~~~~~~

Planned stops that cut off no request.
"""

from enum import StrEnum

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step

__all__ = ["DrainMachine", "DrainState"]

#: Seconds after which a process may exit although its leaving news was not told.
NEWS_BOUND_S = 5.0


class DrainState(StrEnum):
    """How far a planned stop has come."""

    RUNNING = "running"
    LEAVING = "leaving"
    DRAINED = "drained"


class DrainMachine:
    """Admits requests until a planned stop and says when the process may exit.

    :param peer: name of this process in failures
    :param news_bound_s: seconds to wait at most until the leaving news is told
    """

    def __init__(self, peer: str = "", news_bound_s: float = NEWS_BOUND_S) -> None:
        self._peer = peer
        self._news_bound_s = news_bound_s
        self._requests: set[str] = set()
        self._orders: set[str] = set()
        self._stopped_s: float | None = None
        self._told_s: float | None = None

    @property
    def state(self) -> DrainState:
        """Running, leaving, or leaving with nothing in progress."""
        if self._stopped_s is None:
            return DrainState.RUNNING
        return DrainState.LEAVING if self._requests or self._orders else DrainState.DRAINED

    @property
    def in_flight(self) -> int:
        """Number of requests admitted and not finished."""
        return len(self._requests)

    def admit(self, request_id: str) -> Result[None, Failure]:
        """Admit a request; one that is in progress already stays admitted, as for a resume.

        :return: nothing, or at once a failure "not run" when the process is leaving
        """
        if self._stopped_s is not None and request_id not in self._requests:
            return self._refuse(Step.ADMIT)
        self._requests.add(request_id)
        return Ok(None)

    def finished(self, request_id: str) -> None:
        """A request has ended; unknown ids are ignored."""
        self._requests.discard(request_id)

    def hold(self, order_id: str) -> Result[None, Failure]:
        """Keep the process until an order, such as a load, has ended.

        :return: nothing, or a failure "not run" when the process is leaving
        """
        if self._stopped_s is not None and order_id not in self._orders:
            return self._refuse(Step.ORDER)
        self._orders.add(order_id)
        return Ok(None)

    def release(self, order_id: str) -> None:
        """An order has ended; unknown ids are ignored."""
        self._orders.discard(order_id)

    def stop(self, now_s: float) -> bool:
        """Begin a planned stop; a stop during a stop changes nothing.

        :param now_s: time in seconds of the timer service
        :return: whether this call began it
        """
        if self._stopped_s is not None:
            return False
        self._stopped_s = now_s
        return True

    def told(self, now_s: float) -> None:
        """The leaving news was told to a peer that passes it on."""
        if self._stopped_s is not None and self._told_s is None:
            self._told_s = now_s

    def may_exit(self, now_s: float) -> bool:
        """:return: whether exiting now cuts nothing off"""
        if self.state != DrainState.DRAINED:
            return False
        return self._told_s is not None or now_s >= self._stopped_s + self._news_bound_s

    def _refuse(self, step: Step) -> Result[None, Failure]:
        return Error(Failure(Outcome.NOT_RUN, step, self._peer, "process is leaving", 0.0))

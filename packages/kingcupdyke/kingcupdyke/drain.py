"""
kingcupdyke.drain
~~~~~~~~~~~~~~~~~

Planned stops of a process that interrupt no request.
"""

from enum import StrEnum

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step

__all__ = ["DrainMachine", "DrainState"]

#: Seconds after which a drained process may exit even if its leave notice was not delivered.
NOTICE_TIMEOUT_S = 5.0


class DrainState(StrEnum):
    """State of a planned stop."""

    RUNNING = "running"
    #: Stopping, with requests or orders in progress.
    LEAVING = "leaving"
    #: Stopping, with nothing in progress.
    DRAINED = "drained"


class DrainMachine:
    """Admits requests until a planned stop, and determines when the process may exit.

    :param peer: name of this process, used in failures
    :param notice_timeout_s: maximum seconds to wait until the leave notice is delivered
    """

    def __init__(self, peer: str = "", notice_timeout_s: float = NOTICE_TIMEOUT_S) -> None:
        self._peer = peer
        self._notice_timeout_s = notice_timeout_s
        self._requests: set[str] = set()
        self._orders: set[str] = set()
        self._stopped_s: float | None = None
        self._notice_sent_s: float | None = None

    @property
    def state(self) -> DrainState:
        """State of the planned stop."""
        if self._stopped_s is None:
            return DrainState.RUNNING
        return DrainState.LEAVING if self._requests or self._orders else DrainState.DRAINED

    @property
    def in_flight(self) -> int:
        """Number of requests that are admitted and not finished."""
        return len(self._requests)

    def admit(self, request_id: str) -> Result[None, Failure]:
        """Admit a request; one that is already in progress stays admitted, so that it can resume.

        :return: nothing, or a failure "not run" when the process is stopping
        """
        if self._stopped_s is not None and request_id not in self._requests:
            return self._refuse(Step.ADMIT)
        self._requests.add(request_id)
        return Ok(None)

    def finished(self, request_id: str) -> None:
        """Record that a request ended; unknown ids are ignored."""
        self._requests.discard(request_id)

    def hold(self, order_id: str) -> Result[None, Failure]:
        """Keep the process from exiting until an order, such as a load, has ended.

        :return: nothing, or a failure "not run" when the process is stopping
        """
        if self._stopped_s is not None and order_id not in self._orders:
            return self._refuse(Step.ORDER)
        self._orders.add(order_id)
        return Ok(None)

    def release(self, order_id: str) -> None:
        """Record that an order ended; unknown ids are ignored."""
        self._orders.discard(order_id)

    def stop(self, now_s: float) -> bool:
        """Begin a planned stop; further calls have no effect.

        :param now_s: time in seconds of the timer service
        :return: whether this call began it
        """
        if self._stopped_s is not None:
            return False
        self._stopped_s = now_s
        return True

    def told(self, now_s: float) -> None:
        """Record that the leave notice was delivered to a peer, which passes it on."""
        if self._stopped_s is not None and self._notice_sent_s is None:
            self._notice_sent_s = now_s

    def may_exit(self, now_s: float) -> bool:
        """:return: whether the process can exit without interrupting a request or an order"""
        if self.state != DrainState.DRAINED:
            return False
        return self._notice_sent_s is not None or now_s >= self._stopped_s + self._notice_timeout_s

    def _refuse(self, step: Step) -> Result[None, Failure]:
        return Error(Failure(Outcome.NOT_RUN, step, self._peer, "process is shutting down", 0.0))

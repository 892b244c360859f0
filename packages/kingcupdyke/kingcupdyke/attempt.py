"""
kingcupdyke.attempt
~~~~~~~~~~~~~~~~~~~

The life of one attempt at a sidecar, with honest outcomes.
"""

from enum import StrEnum

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.keyrecord import KeyState

__all__ = ["AttemptMachine", "AttemptState"]


class AttemptState(StrEnum):
    """How far an attempt has come."""

    RECEIVED = "received"
    CLAIMED = "claimed"
    SENT = "sent"
    STARTED = "started"
    ENDED = "ended"
    #: Ended without anything sent to the back end, for good.
    REFUSED = "refused"
    #: The back end said that it failed.
    FAILED = "failed"
    #: Lost after something may have been sent to the back end.
    UNKNOWN = "unknown"


_UNSENT = (AttemptState.RECEIVED, AttemptState.CLAIMED)
_AT_BACK_END = (AttemptState.SENT, AttemptState.STARTED)
_STATE_BY_OUTCOME = {
    Outcome.NOT_RUN: AttemptState.REFUSED,
    Outcome.FAILED: AttemptState.FAILED,
    Outcome.UNKNOWN: AttemptState.UNKNOWN,
}


class AttemptMachine:
    """Lets an attempt be sent at most once and never after it was refused.

    :param attempt_id: id of the attempt
    :param peer: back end, for failures
    :param needs_claim: whether a claim of its idempotency key must come before it is sent
    :param deadline_s: time in seconds of the timer service after which it is not sent
    """

    def __init__(
        self, attempt_id: str, peer: str, needs_claim: bool, deadline_s: float = float("inf")
    ) -> None:
        self._peer = peer
        self._needs_claim = needs_claim
        self._deadline_s = deadline_s
        self._was_claimed = False
        self._failure: Failure | None = None
        #: Id of the attempt.
        self.attempt_id = attempt_id
        #: How far it has come.
        self.state = AttemptState.RECEIVED

    def claimed(self) -> Result[None, Failure]:
        """The idempotency key was claimed for this attempt.

        :return: nothing, or a failure when the attempt has ended or was sent before
        """
        self._was_claimed = True
        if self.state not in _UNSENT:
            return Error(self._refusal(Step.CLAIM, "claimed too late"))
        self.state = AttemptState.CLAIMED
        return Ok(None)

    def send(self, now_s: float) -> Result[None, Failure]:
        """Ask to send to the back end; to be called before the first byte leaves.

        :param now_s: time in seconds of the timer service
        :return: nothing, once at most; else the failure with which the attempt ends, or
            where it is at the back end already, a failure that leaves it as it is
        """
        if self.state not in _UNSENT:
            return Error(self._refusal(Step.RUN, "sent before"))
        if self._needs_claim and self.state != AttemptState.CLAIMED:
            return Error(self.failure(Step.CLAIM, "key is not claimed"))
        if now_s >= self._deadline_s:
            return Error(self.failure(Step.RUN, "deadline passed before it was sent"))
        self.state = AttemptState.SENT
        return Ok(None)

    def started(self) -> None:
        """The back end began to answer."""
        if self.state == AttemptState.SENT:
            self.state = AttemptState.STARTED

    def ended(self) -> None:
        """The whole answer came from the back end."""
        if self.state in _AT_BACK_END:
            self.state = AttemptState.ENDED

    def failure(
        self,
        step: Step,
        reason: str,
        retry_after_s: float | None = None,
        said_by_back_end: bool = False,
    ) -> Failure:
        """End the attempt; the first failure stays.

        :param step: step at which it arose
        :param retry_after_s: seconds after which coming back helps
        :param said_by_back_end: whether the back end itself answered that it failed
        :return: "not run" only when nothing was sent, "failed" when the back end said so
        """
        if self._failure is None:
            outcome = self._outcome(said_by_back_end)
            self._failure = Failure(outcome, step, self._peer, reason, retry_after_s)
            if self.state != AttemptState.ENDED:
                self.state = _STATE_BY_OUTCOME[outcome]
        return self._failure

    def unsent(self, step: Step, reason: str, retry_after_s: float | None = None) -> Failure:
        """End the attempt because the back end was not reached: no byte left after ``send``.

        :return: a failure "not run", or the failure with which the attempt ended before
        """
        if self.state == AttemptState.SENT:
            self.state = AttemptState.CLAIMED if self._was_claimed else AttemptState.RECEIVED
        return self.failure(step, reason, retry_after_s)

    @property
    def key_state(self) -> str | None:
        """State in which the key's record is to be settled, or None while that is open."""
        if not self._was_claimed or self.state in _UNSENT + _AT_BACK_END:
            return None
        if self.state == AttemptState.REFUSED:
            return KeyState.NOT_RUN
        return KeyState.UNKNOWN if self.state == AttemptState.UNKNOWN else KeyState.ANSWERED

    def _refusal(self, step: Step, reason: str) -> Failure:
        return self._failure or Failure(Outcome.UNKNOWN, step, self._peer, reason)

    def _outcome(self, said_by_back_end: bool) -> Outcome:
        if self.state in _UNSENT:
            return Outcome.NOT_RUN
        return Outcome.FAILED if said_by_back_end else Outcome.UNKNOWN

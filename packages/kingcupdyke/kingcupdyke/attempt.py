"""
kingcupdyke.attempt
~~~~~~~~~~~~~~~~~~~

The states of one attempt at a sidecar, from arrival to its outcome.
"""

from enum import StrEnum

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.keyrecord import KeyState

__all__ = ["AttemptMachine", "AttemptState"]


class AttemptState(StrEnum):
    """State of an attempt."""

    RECEIVED = "received"
    CLAIMED = "claimed"
    SENT = "sent"
    STARTED = "started"
    ENDED = "ended"
    #: Ended before anything was sent to the back end; it will never be sent.
    REFUSED = "refused"
    #: The back end reported a failure.
    FAILED = "failed"
    #: Ended without an answer after data may have been sent to the back end.
    UNKNOWN = "unknown"


_UNSENT_STATES = (AttemptState.RECEIVED, AttemptState.CLAIMED)
_SENT_STATES = (AttemptState.SENT, AttemptState.STARTED)
_STATE_BY_OUTCOME = {
    Outcome.NOT_RUN: AttemptState.REFUSED,
    Outcome.FAILED: AttemptState.FAILED,
    Outcome.UNKNOWN: AttemptState.UNKNOWN,
}


class AttemptMachine:
    """Ensures that an attempt is sent at most once, and never after it was refused.

    :param attempt_id: id of the attempt
    :param peer: name of the back end, used in failures
    :param needs_claim: whether its idempotency key must be claimed before it is sent
    :param deadline_s: time of the timer service, in seconds, from which on it is not sent
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
        #: State of the attempt.
        self.state = AttemptState.RECEIVED

    def claimed(self) -> Result[None, Failure]:
        """Record that the idempotency key was claimed for this attempt.

        :return: nothing, or a failure when the attempt was already sent or has ended
        """
        self._was_claimed = True
        if self.state not in _UNSENT_STATES:
            return Error(
                self._get_rejection(Step.CLAIM, "claimed after the attempt was sent or ended")
            )
        self.state = AttemptState.CLAIMED
        return Ok(None)

    def send(self, now_s: float) -> Result[None, Failure]:
        """Check that the attempt may be sent, and mark it as sent.

        To be called before the first byte is sent to the back end.

        :param now_s: time in seconds of the timer service
        :return: nothing, at most once; otherwise the failure with which the attempt ends or
            ended, or, when it was already sent, a failure that does not change its state
        """
        if self.state not in _UNSENT_STATES:
            return Error(self._get_rejection(Step.RUN, "attempt was already sent"))
        if self._needs_claim and self.state != AttemptState.CLAIMED:
            return Error(self.failure(Step.CLAIM, "idempotency key is not claimed"))
        if now_s >= self._deadline_s:
            return Error(self.failure(Step.RUN, "deadline passed before the attempt was sent"))
        self.state = AttemptState.SENT
        return Ok(None)

    def started(self) -> None:
        """Record that the back end began to answer."""
        if self.state == AttemptState.SENT:
            self.state = AttemptState.STARTED

    def ended(self) -> None:
        """Record that the back end sent the whole answer."""
        if self.state in _SENT_STATES:
            self.state = AttemptState.ENDED

    def failure(
        self,
        step: Step,
        reason: str,
        retry_after_s: float | None = None,
        reported_by_back_end: bool = False,
    ) -> Failure:
        """End the attempt with a failure; the first failure is kept.

        :param step: step at which the failure arose
        :param retry_after_s: seconds after which a retry may succeed
        :param reported_by_back_end: whether the back end itself reported the failure
        :return: the failure; its outcome is "not run" only when nothing was sent, "failed" when
            the back end reported it, else "unknown"
        """
        if self._failure is None:
            outcome = self._get_outcome(reported_by_back_end)
            self._failure = Failure(outcome, step, self._peer, reason, retry_after_s)
            if self.state != AttemptState.ENDED:
                self.state = _STATE_BY_OUTCOME[outcome]
        return self._failure

    def unsent(self, step: Step, reason: str, retry_after_s: float | None = None) -> Failure:
        """End the attempt because the back end was unreachable and no byte was sent to it.

        :return: a failure "not run", or the failure with which the attempt already ended
        """
        if self.state == AttemptState.SENT:
            self.state = AttemptState.CLAIMED if self._was_claimed else AttemptState.RECEIVED
        return self.failure(step, reason, retry_after_s)

    @property
    def key_state(self) -> str | None:
        """State to record for the idempotency key, or None while it is undecided or unclaimed."""
        if not self._was_claimed or self.state in _UNSENT_STATES + _SENT_STATES:
            return None
        if self.state == AttemptState.REFUSED:
            return KeyState.NOT_RUN
        return KeyState.UNKNOWN if self.state == AttemptState.UNKNOWN else KeyState.ANSWERED

    def _get_rejection(self, step: Step, reason: str) -> Failure:
        return self._failure or Failure(Outcome.UNKNOWN, step, self._peer, reason)

    def _get_outcome(self, reported_by_back_end: bool) -> Outcome:
        if self.state in _UNSENT_STATES:
            return Outcome.NOT_RUN
        return Outcome.FAILED if reported_by_back_end else Outcome.UNKNOWN

"""
kingcupdyke_measure.simulationclient
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A simulated client's request, over all its attempts.
"""

from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke_measure.simulationengine import SERVICE
from kingcupdyke_measure.simulationplan import RequestKind
from kingcupdyke_measure.simulationreport import RequestOutcome, RequestResult

__all__ = ["ClientRequest"]


class ClientRequest:
    """A client request, with all its attempts."""

    def __init__(self, kind: RequestKind, model: str, adapter: str, started_s: float) -> None:
        self._kind = kind
        self._model = model
        self._adapter = adapter
        self.started_s = started_s
        self.deadline_s = started_s + kind.deadline_s
        self.first_by_s = started_s + kind.first_patience_s
        #: Seconds from the start of the first attempt to the first token, or None before it.
        self.first_token_s: float | None = None
        self.attempts = 0
        self._outcome = RequestOutcome.GIVEN_UP
        self._reason = "the deadline passed"

    def make_work_item(self, attempt_id: str, now_s: float) -> WorkItem:
        """Make the work item of an attempt; it holds nothing of earlier attempts."""
        kind = self._kind
        self.first_by_s = min(now_s + kind.first_patience_s, self.deadline_s)
        return WorkItem(
            attempt_id=attempt_id,
            service=SERVICE,
            model=self._model,
            adapter=self._adapter,
            parts=(),
            prompt_tokens=kind.prompt_tokens,
            output_tokens=kind.output_tokens,
            priority=kind.priority,
            arrived_s=now_s,
            objective_s=now_s + kind.objective_s,
            first_by_s=self.first_by_s,
            deadline_s=self.deadline_s,
        )

    def record_outcome(self, outcome: RequestOutcome, reason: str) -> None:
        """Record how an attempt ended; the outcome of an earlier one is replaced."""
        self._outcome = outcome
        self._reason = reason

    def make_result(self) -> RequestResult:
        """Make the result from the outcome that was recorded last."""
        kind = self._kind
        is_on_time = self.first_token_s is not None and self.first_token_s <= kind.objective_s
        return RequestResult(
            kind.name,
            self._model,
            self._adapter,
            self._outcome,
            self._reason,
            self._outcome is RequestOutcome.SERVED and is_on_time,
            self.attempts,
        )

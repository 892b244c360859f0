"""
kingcupdyke.hand_over
~~~~~~~~~~~~~~~~~~~~~

State machine that hands over the models of a draining endpoint before it stops.
"""

from collections.abc import Mapping
from typing import NamedTuple

from kingcupdyke.removal import ReadResidency, WriteResidency
from kingcupdyke.residency import ResidencyRecord, count_staying, mark_leaving, remove_holder

__all__ = ["HandOverCommand", "HandOverMachine", "MayStop", "RequestLoad"]


class RequestLoad(NamedTuple):
    """Ask the planner for replicas of a model elsewhere; a repeated command is the same request."""

    model: str
    replicas: int


class MayStop(NamedTuple):
    """The endpoint may stop."""

    #: Models that had too few other holders when the timeout expired.
    under_replicated_models: tuple[str, ...]


HandOverCommand = ReadResidency | WriteResidency | RequestLoad | MayStop


class HandOverMachine:
    """Removes a draining endpoint from the residency record of each of its models.

    It first marks its host as leaving in every record, so that no removal elsewhere counts the
    endpoint as a remaining holder. Then it waits for enough other holders, and removes itself by a
    conditional update. Two hosts that leave concurrently can't count on each other: the one that
    marks later finds the mark of the other.

    :param endpoint: name of the endpoint
    :param host: host of the endpoint
    :param needed_by_model: holders that must remain elsewhere, by model resident here
    :param timeout_s: seconds after which the endpoint may stop in any case
    :param poll_interval_s: seconds between reads of a record that lacks holders
    """

    def __init__(
        self,
        endpoint: str,
        host: str,
        needed_by_model: Mapping[str, int],
        timeout_s: float,
        poll_interval_s: float = 1.0,
    ) -> None:
        self._endpoint = endpoint
        self._host = host
        self._needed_by_model = dict(needed_by_model)
        self._timeout_s = timeout_s
        self._poll_interval_s = poll_interval_s
        #: Models that are not handed over yet.
        self._pending_models = set(needed_by_model)
        #: Models from whose record this endpoint's removal was sent to the store.
        self._removing_models: set[str] = set()
        self._next_read_s_by_model: dict[str, float] = {}
        self._expires_s = float("inf")
        self._has_ended = False

    def start(self, now_s: float) -> list[HandOverCommand]:
        """Begin the hand-over.

        :param now_s: time in seconds of the timer service
        """
        self._expires_s = now_s + self._timeout_s
        self._next_read_s_by_model = dict.fromkeys(self._pending_models, now_s)
        return self.tick(now_s)

    def tick(self, now_s: float) -> list[HandOverCommand]:
        """Read the records that are due, or end when the timeout has expired.

        :param now_s: time in seconds of the timer service
        """
        if self._has_ended:
            return []
        if not self._pending_models or now_s >= self._expires_s:
            return self._end()
        due = sorted(
            each for each in self._pending_models if self._next_read_s_by_model[each] <= now_s
        )
        for model in due:
            self._next_read_s_by_model[model] = now_s + self._poll_interval_s
        return [ReadResidency(model) for model in due]

    def residency_read(
        self, model: str, record: ResidencyRecord | None, version: int, now_s: float
    ) -> list[HandOverCommand]:
        """Continue with one model from its current record.

        :param model: name of the model
        :param record: the record, or None if it does not exist
        :param version: version of the record, or 0 if it does not exist
        :param now_s: time in seconds of the timer service
        """
        if self._has_ended or model not in self._pending_models:
            return []
        record = record or ResidencyRecord(model, {})
        marked = mark_leaving(record, self._host)
        if marked != record:
            return [WriteResidency(marked, version)]
        is_holder = self._endpoint in record.holders_by_endpoint
        if not is_holder and model in self._removing_models:
            return self._complete(model)
        # This endpoint is not counted, as its host is marked as leaving.
        needed = max(1, self._needed_by_model[model])
        missing = needed - count_staying(record, ())
        if missing > 0:
            return [RequestLoad(model, missing)]
        if not is_holder:
            return self._complete(model)
        self._removing_models.add(model)
        removal = remove_holder(record, self._endpoint, needed, ())
        return [WriteResidency(removal.ok, version)]

    def residency_written(self, model: str, now_s: float) -> list[HandOverCommand]:
        """A write of this model's record took effect: read the record again.

        :param model: name of the model
        :param now_s: time in seconds of the timer service
        """
        return self.residency_unknown(model, now_s)

    def residency_conflict(
        self, model: str, record: ResidencyRecord | None, version: int, now_s: float
    ) -> list[HandOverCommand]:
        """Another process changed the record: continue from the changed record.

        :param model: name of the model
        :param record: the changed record, or None if it does not exist
        :param version: version of the record, or 0 if it does not exist
        :param now_s: time in seconds of the timer service
        """
        return self.residency_read(model, record, version, now_s)

    def residency_unknown(self, model: str, now_s: float) -> list[HandOverCommand]:
        """It is unknown whether a write took effect: read the record again.

        :param model: name of the model
        :param now_s: time in seconds of the timer service
        """
        if self._has_ended or model not in self._pending_models:
            return []
        return [ReadResidency(model)]

    def _complete(self, model: str) -> list[HandOverCommand]:
        self._pending_models.discard(model)
        return [] if self._pending_models else self._end()

    def _end(self) -> list[HandOverCommand]:
        self._has_ended = True
        return [MayStop(tuple(sorted(self._pending_models)))]

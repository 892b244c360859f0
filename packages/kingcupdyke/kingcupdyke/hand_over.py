"""
kingcupdyke.hand_over
~~~~~~~~~~~~~~~~~~~~~

Handing a leaving endpoint's models over before it goes, as a state machine.
"""

from collections.abc import Mapping
from typing import NamedTuple

from kingcupdyke.removal import ReadResidency, WriteResidency
from kingcupdyke.residency import ResidencyRecord, count_staying, mark_leaving, remove_holder

__all__ = ["HandOverCommand", "HandOverMachine", "MayGo", "RequestLoad"]


class RequestLoad(NamedTuple):
    """Ask the planner for replicas of a model elsewhere; a repeat asks for the same ones."""

    model: str
    replicas: int


class MayGo(NamedTuple):
    """The endpoint may stop."""

    #: Models that have too few other holders, when the bound of time is over.
    left_models: tuple[str, ...]


HandOverCommand = ReadResidency | WriteResidency | RequestLoad | MayGo


class HandOverMachine:
    """Takes a leaving endpoint out of the record of each of its models.

    It first marks its host as leaving in every record, so that no removal elsewhere counts on it;
    then it waits for other holders, and removes itself by a conditional update. Two hosts that
    leave at once can't each count on the other: whoever marks later finds the other marked.

    :param endpoint: name of the endpoint
    :param host: its host
    :param needed_by_model: for each model resident here, the holders that must remain elsewhere
    :param bound_s: seconds after which it may go in any case
    :param poll_s: seconds between readings of a record that lacks holders
    """

    def __init__(
        self,
        endpoint: str,
        host: str,
        needed_by_model: Mapping[str, int],
        bound_s: float,
        poll_s: float = 1.0,
    ) -> None:
        self._endpoint = endpoint
        self._host = host
        self._needed_by_model = dict(needed_by_model)
        self._bound_s = bound_s
        self._poll_s = poll_s
        self._open_models = set(needed_by_model)
        #: Models whose removal was sent to the store.
        self._removing_models: set[str] = set()
        self._due_by_model: dict[str, float] = {}
        self._ends_s = float("inf")
        self._has_ended = False

    def start(self, now_s: float) -> list[HandOverCommand]:
        """Begin to leave.

        :param now_s: time in seconds of the timer service
        """
        self._ends_s = now_s + self._bound_s
        self._due_by_model = dict.fromkeys(self._open_models, now_s)
        return self.tick(now_s)

    def tick(self, now_s: float) -> list[HandOverCommand]:
        """Read the records that are due, or end when the bound is over.

        :param now_s: time in seconds of the timer service
        """
        if self._has_ended:
            return []
        if not self._open_models or now_s >= self._ends_s:
            return self._end()
        due = sorted(each for each in self._open_models if self._due_by_model[each] <= now_s)
        for model in due:
            self._due_by_model[model] = now_s + self._poll_s
        return [ReadResidency(model) for model in due]

    def residency_read(
        self, model: str, record: ResidencyRecord | None, version: int, now_s: float
    ) -> list[HandOverCommand]:
        """Go on with one model from its record as it is.

        :param model: name of the model
        :param record: the record, or None where there is none
        :param version: its version, 0 where there is none
        :param now_s: time in seconds of the timer service
        """
        if self._has_ended or model not in self._open_models:
            return []
        record = record or ResidencyRecord(model, {})
        marked = mark_leaving(record, self._host)
        if marked != record:
            return [WriteResidency(marked, version)]
        is_holder = self._endpoint in record.holders_by_endpoint
        if not is_holder and model in self._removing_models:
            return self._hand_over(model)
        # Its own mark keeps this endpoint out of the count.
        needed = max(1, self._needed_by_model[model])
        missing = needed - count_staying(record, ())
        if missing > 0:
            return [RequestLoad(model, missing)]
        if not is_holder:
            return self._hand_over(model)
        self._removing_models.add(model)
        removal = remove_holder(record, self._endpoint, needed, ())
        return [WriteResidency(removal.ok, version)]

    def residency_written(self, model: str, now_s: float) -> list[HandOverCommand]:
        """A write of this model's record took effect: read what it says now.

        :param model: name of the model
        :param now_s: time in seconds of the timer service
        """
        return self.residency_unknown(model, now_s)

    def residency_conflict(
        self, model: str, record: ResidencyRecord | None, version: int, now_s: float
    ) -> list[HandOverCommand]:
        """Another changed the record: go on from what is there.

        :param model: name of the model
        :param record: the record as it is now, or None where there is none
        :param version: its version, 0 where there is none
        :param now_s: time in seconds of the timer service
        """
        return self.residency_read(model, record, version, now_s)

    def residency_unknown(self, model: str, now_s: float) -> list[HandOverCommand]:
        """The answer to a write was lost: read back.

        :param model: name of the model
        :param now_s: time in seconds of the timer service
        """
        if self._has_ended or model not in self._open_models:
            return []
        return [ReadResidency(model)]

    def _hand_over(self, model: str) -> list[HandOverCommand]:
        self._open_models.discard(model)
        return [] if self._open_models else self._end()

    def _end(self) -> list[HandOverCommand]:
        self._has_ended = True
        return [MayGo(tuple(sorted(self._open_models)))]

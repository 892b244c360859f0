"""
kingcupdyke.resume
~~~~~~~~~~~~~~~~~~

What a sidecar may truly say of an attempt that a gateway asks for again.
"""

from collections import OrderedDict

from kingcupdyke.error import Outcome

__all__ = ["AttemptMemory"]


class AttemptMemory:
    """Remembers the attempts that arrived, and those it has denied.

    "Not run" is only said of an attempt that has not arrived and, once it was said, will be
    refused if it arrives late after all.

    :param remember_s: seconds for which attempts are remembered
    """

    def __init__(self, remember_s: float) -> None:
        self._remember_s = remember_s
        self._seen_by_attempt: OrderedDict[str, float] = OrderedDict()
        self._denied_by_attempt: OrderedDict[str, float] = OrderedDict()

    def arrived(self, attempt_id: str, now_s: float) -> bool:
        """Take an attempt that arrives for the first time.

        :param now_s: time in seconds of the timer service
        :return: whether it may run; False when it was denied before or is a repeat
        """
        self._forget_past(now_s)
        if attempt_id in self._denied_by_attempt or attempt_id in self._seen_by_attempt:
            return False
        self._seen_by_attempt[attempt_id] = now_s
        return True

    def resolve(
        self, attempt_id: str, same_incarnation: bool, age_s: float, now_s: float
    ) -> Outcome:
        """Say what became of an attempt that is not held any more.

        :param same_incarnation: whether it was first sent to this start of the sidecar
        :param age_s: seconds since it was first sent
        :return: "not run", after which the attempt is denied, or "unknown"
        """
        self._forget_past(now_s)
        seen = attempt_id in self._seen_by_attempt
        if seen or not same_incarnation or age_s >= self._remember_s / 2:
            return Outcome.UNKNOWN
        self._denied_by_attempt[attempt_id] = now_s
        return Outcome.NOT_RUN

    def _forget_past(self, now_s: float) -> None:
        for times_by_attempt in (self._seen_by_attempt, self._denied_by_attempt):
            while times_by_attempt:
                attempt_id, time_s = next(iter(times_by_attempt.items()))
                if now_s - time_s < self._remember_s:
                    break
                del times_by_attempt[attempt_id]

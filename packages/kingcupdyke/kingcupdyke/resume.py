"""
kingcupdyke.resume
~~~~~~~~~~~~~~~~~~

Outcome that a sidecar may report for an attempt that a gateway wants to resume.
"""

from collections import OrderedDict

from kingcupdyke.error import Outcome

__all__ = ["AttemptHistory"]


class AttemptHistory:
    """Records the attempts that arrived, and those that were reported as not run ("denied").

    "Not run" is only reported for an attempt that has not arrived. If the attempt arrives after
    that, it is refused.

    :param retention_s: seconds for which an attempt is kept in the records
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._arrived_s_by_attempt: OrderedDict[str, float] = OrderedDict()
        self._denied_s_by_attempt: OrderedDict[str, float] = OrderedDict()

    def arrived(self, attempt_id: str, now_s: float) -> bool:
        """Record that an attempt arrived.

        :param now_s: time in seconds of the timer service
        :return: whether the attempt may run; False when it was denied or has arrived before
        """
        self._remove_expired(now_s)
        if attempt_id in self._denied_s_by_attempt or attempt_id in self._arrived_s_by_attempt:
            return False
        self._arrived_s_by_attempt[attempt_id] = now_s
        return True

    def resolve(
        self, attempt_id: str, same_incarnation: bool, age_s: float, now_s: float
    ) -> Outcome:
        """Determine the outcome of an attempt that the sidecar no longer holds.

        :param same_incarnation: whether the attempt was first sent to this incarnation of the
            sidecar
        :param age_s: seconds since the attempt was first sent
        :return: "not run", after which the attempt is denied, or "unknown"
        """
        self._remove_expired(now_s)
        has_arrived = attempt_id in self._arrived_s_by_attempt
        if has_arrived or not same_incarnation or age_s >= self._retention_s / 2:
            return Outcome.UNKNOWN
        self._denied_s_by_attempt[attempt_id] = now_s
        return Outcome.NOT_RUN

    def _remove_expired(self, now_s: float) -> None:
        for times_by_attempt in (self._arrived_s_by_attempt, self._denied_s_by_attempt):
            while times_by_attempt:
                attempt_id, recorded_s = next(iter(times_by_attempt.items()))
                if now_s - recorded_s < self._retention_s:
                    break
                del times_by_attempt[attempt_id]

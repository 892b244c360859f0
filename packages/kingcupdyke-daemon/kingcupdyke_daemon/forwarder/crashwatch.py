"""
kingcupdyke_daemon.forwarder.crashwatch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Observes how far an answer has come, to tell prompts that may crash endpoints from sound ones.
"""

from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.crashdirectory import CrashDirectory

__all__ = ["CrashWatch"]

#: Time after the head of an answer within which its prompt may still be why the endpoint crashes.
BEGINNING_S = 0.25
#: Time after the head of an answer after which its prompt is sound.
SOUND_S = 1.0


class CrashWatch:
    """Observes one attempt at an endpoint.

    :param crashes: is told of lost and of sound prompts
    :param timer: the timer service
    :param entry: entry of the endpoint
    :param item: the request
    """

    def __init__(
        self,
        crashes: CrashDirectory,
        timer: TimerService,
        entry: EndpointEntry,
        item: WorkItem,
    ) -> None:
        self._crashes = crashes
        self._timer = timer
        self._entry = entry
        self._item = item
        self._sent_s = timer.now()
        self._head_s: float | None = None
        self._has_data = False
        self._is_sound = False

    def note_head(self) -> None:
        """Record that the head of the answer has been received."""
        self._head_s = self._timer.now()

    def note_data(self) -> None:
        """Record that a part of the answer's body has been received."""
        self._has_data = True
        if self._answer_age_s > SOUND_S:
            self.note_sound()

    def note_sound(self) -> None:
        """Record that the endpoint has written the answer, or enough of it."""
        if not self._is_sound:
            self._is_sound = True
            self._crashes.note_sound(self._item)

    def note_lost(self) -> None:
        """Record that the connection to the endpoint broke."""
        if not self._has_data or self._answer_age_s <= BEGINNING_S:
            is_beginning = self._head_s is not None and not self._has_data
            self._crashes.note_lost(self._entry, self._item, is_beginning, self._sent_s)

    @property
    def _answer_age_s(self) -> float:
        """:return: seconds since the head of the answer, or 0 without one"""
        return 0.0 if self._head_s is None else self._timer.now() - self._head_s

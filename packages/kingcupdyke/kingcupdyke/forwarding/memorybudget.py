"""
kingcupdyke.forwarding.memorybudget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The memory that a gateway may use for the bytes of answers and request bodies that it holds.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from kingcupdyke.forwarding.unfinishedparts import UnfinishedParts

__all__ = ["HeldAnswer", "MemoryBudget", "choose_budget_bytes"]

#: Budget in bytes if the memory limit of the process is not known.
DEFAULT_BUDGET_BYTES = 64 * 1024 * 1024
#: One part in so many of the memory limit is the budget, and of the budget the share of an answer.
LIMIT_PARTS = 4
ANSWER_PARTS = 16
#: Share of the budget that answers may use together. The rest is left for request bodies, so that
#: slow readers do not cause rejections of other clients' requests.
ANSWERS_SHARE = 0.75


def choose_budget_bytes(limit_bytes: int | None) -> int:
    """:return: the budget in bytes

    :param limit_bytes: memory limit of the process, or None if it is not known
    """
    return DEFAULT_BUDGET_BYTES if limit_bytes is None else limit_bytes // LIMIT_PARTS


class HeldAnswer:
    """The bytes of one answer that its client has not taken yet.

    :param budget: the budget that they count toward
    :param on_room: called when the answer was stopped and may be read again
    """

    def __init__(self, budget: "MemoryBudget", on_room: Callable[[], None]) -> None:
        self._budget = budget
        self._on_room = on_room
        self._largest_part = 0
        self.held_bytes = 0
        #: Whether the last :meth:`may_read` returned False and there was no room since.
        self.is_stopped = False

    @property
    def wanted_bytes(self) -> int:
        """:return: bytes that the answer may hold after its next part, or 0 if it holds none"""
        return self.held_bytes + self._largest_part if self.held_bytes else 0

    def add(self, size: int) -> None:
        """Count bytes that were read from the endpoint."""
        self._largest_part = max(self._largest_part, size)
        self.held_bytes += size
        self._budget.answer_bytes += size

    def remove(self, size: int) -> None:
        """Count bytes that the client has taken."""
        self.held_bytes -= size
        self._budget.answer_bytes -= size
        if self.is_stopped:
            self._budget.note_stopped(self)
        self._budget.resume_stopped()

    def may_read(self) -> bool:
        """:return: whether the answer may be read further; if not, ``on_room`` is called later"""
        if self._budget.has_room(self.wanted_bytes):
            return True
        self.is_stopped = True
        self._budget.note_stopped(self)
        return False

    def resume(self) -> None:
        """Let a stopped answer be read again."""
        self.is_stopped = False
        self._on_room()

    def close(self) -> None:
        """Release what the answer holds; it is not used afterwards."""
        self.is_stopped = False
        self.remove(self.held_bytes)


class MemoryBudget:
    """Decides which answers may be read further and which request bodies are accepted.

    An answer may hold its share of the budget, and not more than what the answers have left of
    theirs. The more answers are held, the lower this threshold is: the largest are stopped first,
    and there is always room for one that holds little. An answer that holds nothing may always be
    read, so that each client gets its answer at its own speed.

    :param size_bytes: the budget
    """

    def __init__(self, size_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        self.size_bytes = size_bytes
        #: What endpoints have sent and can't be passed on yet.
        self.unfinished_parts = UnfinishedParts(size_bytes, self.resume_stopped)
        #: Bytes of answers and of request bodies that are held now.
        self.answer_bytes = 0
        self.body_bytes = 0
        #: Stopped answers by what they want. An entry is outdated if the answer wants less since.
        self._stopped: list[tuple[int, int, HeldAnswer]] = []
        self._numbers = count()

    @property
    def _other_bytes(self) -> int:
        """:return: bytes that are held other than those of answers for clients"""
        return self.body_bytes + self.unfinished_parts.size_bytes

    @property
    def body_room(self) -> int:
        """:return: bytes of request bodies that fit; negative if more is held than is permitted"""
        return self.size_bytes - self.answer_bytes - self._other_bytes

    def configure(self, size_bytes: int) -> None:
        """Change the budget; what is held stays held."""
        self.size_bytes = size_bytes
        self.unfinished_parts.budget_bytes = size_bytes
        self.resume_stopped()

    def open_answer(self, on_room: Callable[[], None]) -> HeldAnswer:
        """:return: the account of an answer that is read ahead

        :param on_room: called when the answer was stopped and may be read again
        """
        return HeldAnswer(self, on_room)

    def take_body(self, size: int) -> bool:
        """Count bytes of a request body if they fit.

        :return: whether they were counted
        """
        if size and size > self.body_room:
            return False
        self.body_bytes += size
        return True

    def release_body(self, size: int) -> None:
        """Count bytes of a request body as released."""
        self.body_bytes -= size
        self.resume_stopped()

    def has_room(self, wanted_bytes: int) -> bool:
        """:return: whether an answer may be read that will hold so many bytes"""
        if not wanted_bytes:
            return True
        room = min(self.size_bytes * ANSWERS_SHARE, self.size_bytes - self._other_bytes)
        threshold = min(self.size_bytes // ANSWER_PARTS, room - self.answer_bytes)
        return wanted_bytes <= threshold

    def note_stopped(self, answer: HeldAnswer) -> None:
        """Record a stopped answer, and again whenever it wants less."""
        heappush(self._stopped, (answer.wanted_bytes, next(self._numbers), answer))

    def resume_stopped(self) -> None:
        """Resume the stopped answers for which there is room, those that hold least first."""
        while self._stopped:
            wanted, _, answer = self._stopped[0]
            is_current = answer.is_stopped and answer.wanted_bytes == wanted
            if is_current and not self.has_room(wanted):
                return
            heappop(self._stopped)
            if is_current:
                answer.resume()

"""
kingcupdyke.forwarding.incomingbodies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Request bodies that are being received, of which the slowest gives way when there is no room.
"""

from collections.abc import Callable
from enum import StrEnum
from mmap import mmap

from kingcupdyke.forwarding.memorybudget import MemoryBudget

__all__ = ["IncomingBodies", "IncomingBody", "Room"]

#: Size of the beginning of a body that is kept like other data, and of the blocks that follow it.
FIRST_BYTES = 16_384
BLOCK_BYTES = 65_536
#: A body is slow if, received as fast as so far, it would take longer than this in all.
SLOW_BODY_S = 10.0
#: A body is slow as well if none of it has come for so long. A younger one is never slow.
PAUSE_S = 1.0


class Room(StrEnum):
    """What a body gives way for."""

    MEMORY = "memory"
    CONNECTION = "connection"


class _Pieces:
    """The bytes of a body until it is whole.

    Bodies that grow side by side, each in one piece, would leave gaps of all sizes in the heap,
    which the process would keep. So all but the beginning is in blocks that are mapped one by one.
    """

    def __init__(self) -> None:
        self.size = 0
        self._begin = bytearray()
        self._blocks: list[mmap] = []

    def add(self, part: bytes) -> None:
        """Append bytes."""
        self.size += len(part)
        if self.size <= FIRST_BYTES:
            self._begin += part
            return
        view = memoryview(part)
        while view:
            filled = (self.size - len(self._begin) - len(view)) % BLOCK_BYTES
            if not filled:
                self._blocks.append(mmap(-1, BLOCK_BYTES))
            count = min(len(view), BLOCK_BYTES - filled)
            self._blocks[-1][filled : filled + count] = view[:count]
            view = view[count:]

    def join(self) -> bytes:
        """:return: all bytes"""
        if not self._blocks:
            return bytes(self._begin)
        last = self.size - len(self._begin) - (len(self._blocks) - 1) * BLOCK_BYTES
        return b"".join((self._begin, *self._blocks[:-1], self._blocks[-1][:last]))


class IncomingBody:
    """One request body of which parts have arrived.

    :param bodies: those that share the room
    :param now_s: time in seconds
    :param on_give_way: called when the body gives way to others; its parts are no longer held
    """

    def __init__(
        self, bodies: "IncomingBodies", now_s: float, on_give_way: Callable[[Room], None]
    ) -> None:
        self._bodies = bodies
        self._begun_s = self._received_s = now_s
        self._on_give_way = on_give_way
        #: Bytes that count toward the budget: those declared, or those received if that is more.
        self.taken_bytes = 0
        self._pieces = _Pieces()
        self.has_given_way = False

    @property
    def received_bytes(self) -> int:
        """:return: bytes that have arrived"""
        return self._pieces.size

    def take(self, size: int, now_s: float) -> bool:
        """Count bytes toward the budget, for which slow bodies give way.

        :return: whether they were counted
        """
        if not self._bodies.make_room(size, self, now_s):
            return False
        self.taken_bytes += size
        return True

    def add(self, part: bytes, now_s: float) -> bool:
        """Keep a part that has arrived.

        :return: whether the budget permits it
        """
        excess = self.received_bytes + len(part) - self.taken_bytes
        if excess > 0 and not self.take(excess, now_s):
            return False
        self._pieces.add(part)
        self._received_s = now_s
        return True

    def estimate_s(self, now_s: float) -> float:
        """:return: seconds that all of it would take as fast as so far; at least those until now"""
        elapsed_s = now_s - self._begun_s
        return elapsed_s * max(1, self.taken_bytes) / max(1, self.received_bytes)

    def is_slow(self, now_s: float) -> bool:
        """:return: whether it gives way to others"""
        if now_s - self._begun_s < PAUSE_S:
            return False
        return now_s - self._received_s >= PAUSE_S or self.estimate_s(now_s) > SLOW_BODY_S

    def give_way(self, room: Room) -> None:
        """Release what is held of the body, which is not received further."""
        self.has_given_way = True
        self.close()
        self._on_give_way(room)

    def close(self) -> None:
        """Drop what is held, and release the budget, unless the body was handed over."""
        self._bodies.remove(self)
        # An error that ends the reading refers to this object for as long as it is handled.
        self._pieces = _Pieces()
        self._bodies.budget.release_body(self.taken_bytes)
        self.taken_bytes = 0

    def hand_over(self) -> bytes:
        """:return: the whole body, whose bytes the caller releases from the budget"""
        self._bodies.remove(self)
        body, self._pieces = self._pieces.join(), _Pieces()
        self._bodies.budget.release_body(self.taken_bytes - len(body))
        self.taken_bytes = 0
        return body


class IncomingBodies:
    """The bodies that a gateway receives at present.

    :param budget: the memory budget that they count toward
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self._bodies: set[IncomingBody] = set()

    def begin(self, now_s: float, on_give_way: Callable[[Room], None]) -> IncomingBody:
        """:return: the account of a body of which nothing has arrived"""
        body = IncomingBody(self, now_s, on_give_way)
        self._bodies.add(body)
        return body

    def remove(self, body: IncomingBody) -> None:
        """Forget a body that is no longer received."""
        self._bodies.discard(body)

    def make_room(self, size: int, asker: IncomingBody, now_s: float) -> bool:
        """Count bytes toward the budget; the slowest bodies give way if that makes them fit.

        :param asker: the body that needs them
        :return: whether they were counted
        """
        if self.budget.take_body(size):
            return True
        slow = [each for each in self._bodies if each is not asker and each.is_slow(now_s)]
        if sum(each.taken_bytes for each in slow) < size - self.budget.body_room:
            return False
        slow.sort(key=lambda each: each.estimate_s(now_s))
        while slow:
            slow.pop().give_way(Room.MEMORY)
            if self.budget.take_body(size):
                return True
        return False

    def free_connection(self, now_s: float) -> bool:
        """Let the slowest body give way to a new connection.

        :return: whether there was a slow one
        """
        slow = [each for each in self._bodies if each.is_slow(now_s)]
        if not slow:
            return False
        max(slow, key=lambda each: each.estimate_s(now_s)).give_way(Room.CONNECTION)
        return True

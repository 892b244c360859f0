"""
kingcupdyke.answer
~~~~~~~~~~~~~~~~~~

Whole answers: assembling the parts of a reply, and keeping them for a resume.
"""

from collections import deque

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step

__all__ = ["AnswerAssembler", "AnswerBuffer"]


class AnswerAssembler:
    """Takes the messages of a reply and gives each part once and in order.

    A failure means that the message belongs to no or another answer: the reply is dropped
    and its connection closed. Nothing that was delivered before becomes wrong by it.

    :param request_id: request that the answer is for
    :param attempt_id: attempt whose messages are taken
    :param peer: endpoint that sends the answer, for failures
    """

    def __init__(self, request_id: str, attempt_id: str, peer: str = "") -> None:
        self._request_id = request_id
        self._attempt_id = attempt_id
        #: Endpoint that sends the answer.
        self.peer = peer
        self._head: tuple[int, str] | None = None
        #: Offset of the part that is due, which is the number of parts delivered.
        self.next_offset = 0
        #: Whether all parts and the end mark have come.
        self.complete = False

    @property
    def started(self) -> bool:
        """Whether the status has come."""
        return self._head is not None

    def start(
        self, request_id: str, attempt_id: str, status: int, content_type: str
    ) -> Result[None, Failure]:
        """Take the status; after a resume it may come again.

        :return: nothing, or a failure for a wrong id or another status than before
        """
        if not self._is_own(request_id, attempt_id):
            return self._fail("start of another answer")
        head = (status, content_type)
        if self._head not in (None, head):
            return self._fail("status changed within an answer")
        self._head = head
        return Ok(None)

    def part(
        self, request_id: str, attempt_id: str, offset: int, data: bytes
    ) -> Result[bytes | None, Failure]:
        """Take a part.

        :param offset: index of the part, counted from zero
        :return: the data to deliver, None for a repeat, or a failure for a gap or a wrong id
        """
        if not self._is_own(request_id, attempt_id):
            return self._fail("part of another answer")
        if not self.started:
            return self._fail("part before the start")
        if offset < self.next_offset:
            return Ok(None)
        if self.complete or offset > self.next_offset:
            return self._fail(f"part {offset} where {self.next_offset} was due")
        self.next_offset += 1
        return Ok(data)

    def end(self, request_id: str, attempt_id: str, count: int) -> Result[None, Failure]:
        """Take the end mark.

        :param count: number of parts sent in all
        :return: nothing, or a failure for a wrong id or a count that does not match
        """
        if not self._is_own(request_id, attempt_id):
            return self._fail("end of another answer")
        if not self.started:
            return self._fail("end before the start")
        if count != self.next_offset:
            return self._fail(f"end after {count} parts where {self.next_offset} came")
        self.complete = True
        return Ok(None)

    def resumed(self, attempt_id: str) -> None:
        """Go on under another attempt; messages of the one before are refused from now on."""
        self._attempt_id = attempt_id

    def _is_own(self, request_id: str, attempt_id: str) -> bool:
        return request_id == self._request_id and attempt_id == self._attempt_id

    def _fail(self, reason: str) -> Result:
        return Error(Failure(Outcome.UNKNOWN, Step.RELAY, self.peer, reason))


class AnswerBuffer:
    """Keeps the latest parts of a running request by offset, for a resume.

    :param most_bytes: most bytes of parts kept; the oldest are dropped beyond
    :param peer: name of this process in failures
    """

    def __init__(self, most_bytes: int, peer: str = "") -> None:
        self._most_bytes = most_bytes
        self._peer = peer
        self._parts: deque[bytes] = deque()
        #: Offset of the oldest part still kept.
        self.first_offset = 0
        #: Bytes of the parts kept.
        self.held_bytes = 0
        #: Whether the answer is complete.
        self.ended = False

    @property
    def next_offset(self) -> int:
        """Offset that the next part will have; at the end, the number of parts."""
        return self.first_offset + len(self._parts)

    def append(self, data: bytes) -> int:
        """:return: the offset of the new part
        :raises ValueError: after the end
        """
        if self.ended:
            raise ValueError("part after the end of an answer")
        self._parts.append(data)
        self.held_bytes += len(data)
        offset = self.next_offset - 1
        while self.held_bytes > self._most_bytes:
            self._drop_oldest()
        return offset

    def end(self) -> int:
        """:return: the number of parts of the whole answer"""
        self.ended = True
        return self.next_offset

    def acknowledge(self, offset: int) -> None:
        """Drop the parts before an offset, which the receiver has."""
        while self._parts and self.first_offset < offset:
            self._drop_oldest()

    def check_resume(self, offset: int) -> Result[None, Failure]:
        """:return: nothing, or a failure when parts from the offset on are not kept"""
        if self.first_offset <= offset <= self.next_offset:
            return Ok(None)
        reason = f"resume at {offset}, kept are {self.first_offset} to {self.next_offset}"
        return Error(Failure(Outcome.UNKNOWN, Step.RELAY, self._peer, reason))

    def parts_from(self, offset: int) -> list[tuple[int, bytes]]:
        """:return: offsets and parts from an offset on
        :raises ValueError: where ``check_resume`` refuses
        """
        if self.check_resume(offset).is_error():
            raise ValueError(f"parts from {offset} on are not kept")
        parts = enumerate(self._parts, self.first_offset)
        return [(index, data) for index, data in parts if index >= offset]

    def _drop_oldest(self) -> None:
        self.held_bytes -= len(self._parts.popleft())
        self.first_offset += 1

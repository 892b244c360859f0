"""
kingcupdyke.answer
~~~~~~~~~~~~~~~~~~

Assembling an answer from its parts, and buffering the parts for a resume.
"""

from collections import deque

from expression import Error, Ok, Result

from kingcupdyke.error import Failure, Outcome, Step

__all__ = ["AnswerAssembler", "AnswerBuffer", "is_final_status"]

#: The statuses of answers: HTTP has none above them, and those below come before an answer
#: (RFC 9110, section 15).
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599


def is_final_status(status: int) -> bool:
    """:return: whether an HTTP status is one that an answer can have"""
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


class AnswerAssembler:
    """Takes the messages of an answer and delivers each part once and in order.

    A failure means that a message does not belong to this answer or is out of sequence: the
    answer is to be dropped and its connection closed. Parts delivered before stay valid.

    :param request_id: request that is answered
    :param attempt_id: attempt whose messages are accepted
    :param peer: endpoint that sends the answer, named in failures
    """

    def __init__(self, request_id: str, attempt_id: str, peer: str = "") -> None:
        self._request_id = request_id
        self._attempt_id = attempt_id
        #: Endpoint that sends the answer.
        self.peer = peer
        self._head: tuple[int, str] | None = None
        #: Offset of the next part, which equals the number of parts delivered.
        self.next_offset = 0
        #: Whether all parts and the end mark have been received.
        self.complete = False

    @property
    def started(self) -> bool:
        """Whether the status has been received."""
        return self._head is not None

    def start(
        self, request_id: str, attempt_id: str, status: int, content_type: str
    ) -> Result[None, Failure]:
        """Take the status, which may be sent again after a resume.

        :return: nothing, or a failure for a wrong id, for a status that is none, or when the status
            or content type changed
        """
        if not self._is_expected(request_id, attempt_id):
            return self._fail("start message of another answer")
        if not is_final_status(status):
            return self._fail(f"invalid status {status}")
        head = (status, content_type)
        if self._head not in (None, head):
            return self._fail("status or content type changed within an answer")
        self._head = head
        return Ok(None)

    def part(
        self, request_id: str, attempt_id: str, offset: int, data: bytes
    ) -> Result[bytes | None, Failure]:
        """Take a part.

        :param offset: index of the part, counted from zero
        :return: the data to deliver, None for a duplicate, or a failure for a gap or a wrong id
        """
        if not self._is_expected(request_id, attempt_id):
            return self._fail("part of another answer")
        if not self.started:
            return self._fail("part before the start")
        if offset < self.next_offset:
            return Ok(None)
        if self.complete or offset > self.next_offset:
            return self._fail(f"part {offset} received where part {self.next_offset} was expected")
        self.next_offset += 1
        return Ok(data)

    def end(self, request_id: str, attempt_id: str, count: int) -> Result[None, Failure]:
        """Take the end mark.

        :param count: number of parts of the whole answer
        :return: nothing, or a failure for a wrong id or a count that does not match
        """
        if not self._is_expected(request_id, attempt_id):
            return self._fail("end mark of another answer")
        if not self.started:
            return self._fail("end mark before the start")
        if count != self.next_offset:
            return self._fail(f"end mark for {count} parts, but {self.next_offset} were received")
        self.complete = True
        return Ok(None)

    def resumed(self, attempt_id: str) -> None:
        """Continue under another attempt; messages of the previous one are rejected from now on."""
        self._attempt_id = attempt_id

    def _is_expected(self, request_id: str, attempt_id: str) -> bool:
        return request_id == self._request_id and attempt_id == self._attempt_id

    def _fail(self, reason: str) -> Result:
        return Error(Failure(Outcome.UNKNOWN, Step.RELAY, self.peer, reason))


class AnswerBuffer:
    """Buffers the latest parts of an answer by offset, for a resume.

    :param max_bytes: maximum size of the buffered parts; beyond it the oldest are dropped
    :param peer: name of this process, used in failures
    """

    def __init__(self, max_bytes: int, peer: str = "") -> None:
        self._max_bytes = max_bytes
        self._peer = peer
        self._parts: deque[bytes] = deque()
        #: Offset of the oldest buffered part.
        self.first_offset = 0
        #: Size of the buffered parts in bytes.
        self.buffered_bytes = 0
        #: Whether the answer is complete.
        self.ended = False

    @property
    def next_offset(self) -> int:
        """Offset of the next part; once the answer ended, the number of its parts."""
        return self.first_offset + len(self._parts)

    def append(self, data: bytes) -> int:
        """Add a part.

        :return: its offset
        :raises ValueError: when the answer has ended
        """
        if self.ended:
            raise ValueError("part after the end of an answer")
        self._parts.append(data)
        self.buffered_bytes += len(data)
        offset = self.next_offset - 1
        while self.buffered_bytes > self._max_bytes:
            self._drop_oldest()
        return offset

    def end(self) -> int:
        """Mark the answer as complete.

        :return: the number of its parts
        """
        self.ended = True
        return self.next_offset

    def acknowledge(self, offset: int) -> None:
        """Drop the parts before an offset, since the receiver has them."""
        while self._parts and self.first_offset < offset:
            self._drop_oldest()

    def check_resume(self, offset: int) -> Result[None, Failure]:
        """:return: nothing, or a failure when the parts from the offset on are not all buffered"""
        if self.first_offset <= offset <= self.next_offset:
            return Ok(None)
        reason = (
            f"resume at {offset}, but only {self.first_offset} to {self.next_offset} are possible"
        )
        return Error(Failure(Outcome.UNKNOWN, Step.RELAY, self._peer, reason))

    def parts_from(self, offset: int) -> list[tuple[int, bytes]]:
        """:return: offsets and data of the parts from an offset on
        :raises ValueError: when :meth:`check_resume` returns a failure
        """
        if self.check_resume(offset).is_error():
            raise ValueError(f"parts from offset {offset} on are not buffered")
        parts = enumerate(self._parts, self.first_offset)
        return [(index, data) for index, data in parts if index >= offset]

    def _drop_oldest(self) -> None:
        self.buffered_bytes -= len(self._parts.popleft())
        self.first_offset += 1

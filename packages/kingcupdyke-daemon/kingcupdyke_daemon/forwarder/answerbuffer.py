"""
kingcupdyke_daemon.forwarder.answerbuffer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the answers to slow clients ahead, within the memory budget of the process.
"""

import logging

from anyio import BrokenResourceError, ClosedResourceError, EndOfStream, Event, move_on_after
from anyio.abc import SocketStream, TaskGroup
from anyio.lowlevel import checkpoint

from kingcupdyke.forwarding.memorybudget import HeldAnswer, MemoryBudget, choose_budget_bytes
from kingcupdyke.forwarding.unfinishedparts import UnfinishedParts
from kingcupdyke_daemon.forwarder.metrics import ForwarderMetrics
from kingcupdyke_daemon.forwarder.reply import Reply
from kingcupdyke_daemon.forwarder.settings import DEFAULT_MAX_EVENT_BYTES
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import AnswerMemoryRecord
from kingcupdyke_wire.sockets import count_unsent, set_unacknowledged_timeout, write_now

__all__ = ["DISCONNECT_ERRORS", "AnswerBuffer", "AnswerMemory"]

_LOGGER = logging.getLogger(__name__)
#: Time after which a write that has not finished lets the rest of the answer be read ahead.
SLOW_WRITE_S = 0.05
#: An answer is aborted after so many checks, at this interval, at which its client has taken no
#: byte: 8 s. Checks are counted, not seconds, so that a process that was frozen aborts nothing.
STALL_CHECK_INTERVAL_S = 0.5
STALL_CHECKS = 16
#: Maximum number of bytes passed to the socket in one call.
WRITE_BYTES = 65_536
#: TCP user timeout while an answer is read ahead. The kernel applies it to a closed window too and
#: then ends the connection without a reset, so that it must exceed the time of a stall.
READ_AHEAD_UNACKNOWLEDGED_TIMEOUT_S = 20.0

#: Raised by a socket whose client has disconnected.
DISCONNECT_ERRORS = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)


class _StalledError(Exception):
    """The client has taken no byte for too long."""


class AnswerMemory:
    """The memory budget of a process, with its gauge, counter and log lines.

    :param limit_bytes: memory limit of the process, or None if it is not known
    :param max_event_bytes: limit of the size of an event of a stream
    """

    def __init__(
        self,
        limit_bytes: int | None,
        metrics: ForwarderMetrics,
        max_event_bytes: int = DEFAULT_MAX_EVENT_BYTES,
    ) -> None:
        self.budget = MemoryBudget(choose_budget_bytes(limit_bytes))
        self.max_event_bytes = max_event_bytes
        self.metrics = metrics
        metrics.add_gauge("held_bytes", self._list_held, "side")

    @property
    def unfinished_parts(self) -> UnfinishedParts:
        """:return: the bytes of answers that can't be passed on yet"""
        return self.budget.unfinished_parts

    def configure(self, limit_bytes: int | None) -> None:
        """Change the memory limit of the process."""
        self.budget.configure(choose_budget_bytes(limit_bytes))

    def log_stopped(self, attempt_id: str, held_bytes: int) -> None:
        """Log that an answer is not read further until its client has read."""
        log_record(_LOGGER, "answer stopped", self._make_record(attempt_id, held_bytes))

    def note_aborted(self, attempt_id: str, held_bytes: int) -> None:
        """Count and log an answer that is aborted since its client takes no byte."""
        self.metrics.count_aborted_answer()
        log_record(_LOGGER, "answer aborted", self._make_record(attempt_id, held_bytes))

    def _make_record(self, attempt_id: str, held_bytes: int) -> AnswerMemoryRecord:
        budget = self.budget
        return AnswerMemoryRecord(
            attempt_id, held_bytes, budget.answer_bytes, budget.body_bytes, budget.size_bytes
        )

    def _list_held(self) -> dict[str, float]:
        return {
            "client": self.budget.answer_bytes,
            "endpoint": self.budget.body_bytes,
            "unfinished": self.unfinished_parts.size_bytes,
        }


class AnswerBuffer:
    """Writes one answer to its client, and reads it ahead once the client is slow.

    :param reply: names the request in log lines
    :param stream: the client's connection
    :param tasks: task group of the request, which is cancelled when the client disconnects or takes
        no byte for too long
    """

    def __init__(
        self, reply: Reply, stream: SocketStream, tasks: TaskGroup, memory: AnswerMemory
    ) -> None:
        self._reply = reply
        self._stream = stream
        self._tasks = tasks
        self._memory = memory
        #: Account of the bytes held, or None while the answer is not read ahead.
        self._account: HeldAnswer | None = None
        self._was_stopped = False
        self._data = bytearray()
        self._has_data = Event()
        self._has_room = Event()
        self._is_written = Event()

    async def write(self, data: bytes) -> None:
        """Write bytes, or hold them for a slow client.

        :return: when the next part of the answer may be read
        :raises OSError: when the client has disconnected, or another of :data:`DISCONNECT_ERRORS`
        """
        if self._account is None:
            if not write_now(self._stream, data):
                await checkpoint()
                return
            # Sends nothing, but waits until the transport has written what it holds.
            with move_on_after(SLOW_WRITE_S) as scope:
                await self._stream.send(b"")
            if not scope.cancelled_caught:
                return
            self._read_ahead()
        else:
            self._data += data
            self._account.add(len(data))
            if self._is_written.is_set():
                self._is_written = Event()
            self._has_data.set()
        await self._wait_for_room()

    async def drain(self) -> None:
        """Wait until the client's socket has accepted all bytes."""
        if self._account is not None:
            await self._is_written.wait()

    def close(self) -> None:
        """Release the memory; bytes that were not written are discarded."""
        if self._account is not None:
            self._account.close()
        self._data.clear()

    def _read_ahead(self) -> None:
        set_unacknowledged_timeout(self._stream, READ_AHEAD_UNACKNOWLEDGED_TIMEOUT_S)
        self._account = self._memory.budget.open_answer(lambda: self._has_room.set())
        in_transport = self._stream._transport.get_write_buffer_size()
        self._account.add(in_transport)
        self._tasks.start_soon(self._write_all, self._account, in_transport)

    async def _wait_for_room(self) -> None:
        account = self._account
        while not account.may_read():
            if not self._was_stopped:
                self._was_stopped = True
                self._memory.log_stopped(self._reply.attempt_id, account.held_bytes)
            self._has_room = Event()
            await self._has_room.wait()

    async def _write_all(self, account: HeldAnswer, in_transport: int) -> None:
        """Write the bytes that are held until the request ends.

        :param in_transport: bytes that the transport already holds
        """
        try:
            await self._send(b"")
            account.remove(in_transport)
            while True:
                await self._wait_for_data()
                part = bytes(self._data[:WRITE_BYTES])
                del self._data[:WRITE_BYTES]
                await self._send(part)
                account.remove(len(part))
        except _StalledError:
            self._memory.note_aborted(self._reply.attempt_id, account.held_bytes)
        except DISCONNECT_ERRORS as error:
            _LOGGER.debug("the client disconnected: %r", error)
        self._tasks.cancel_scope.cancel()

    async def _wait_for_data(self) -> None:
        if not self._data:
            self._is_written.set()
            self._has_data = Event()
            await self._has_data.wait()

    async def _send(self, data: bytes) -> None:
        """Write bytes after those that the transport holds.

        :raises _StalledError: when the client takes no byte for too long
        """
        unsent = count_unsent(self._stream) + len(data)
        stalled_checks = 0
        while stalled_checks < STALL_CHECKS:
            # The stream passes bytes to the transport before it waits: a cancelled call loses none.
            with move_on_after(STALL_CHECK_INTERVAL_S) as scope:
                await self._stream.send(data)
            if not scope.cancelled_caught:
                return
            data = b""
            unsent_before, unsent = unsent, count_unsent(self._stream)
            stalled_checks = stalled_checks + 1 if unsent >= unsent_before else 0
        raise _StalledError

"""
kingcupdyke_daemon.sidecar.run
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The attempts that a sidecar runs, independently of the connections that relay them.
"""

from contextlib import aclosing

from anyio import CancelScope, Event, current_time, move_on_after, sleep
from anyio.abc import TaskGroup

from kingcupdyke.answer import AnswerBuffer
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke_daemon.sidecar.backend import Backend, BackendHead
from kingcupdyke_wire.sidecar_pb2 import RunRequest

__all__ = ["Run", "RunTable"]

#: Maximum number of bytes of an answer that are kept for a resume.
_MAX_BUFFER_BYTES = 4 << 20
#: Seconds past its deadline that a non-idempotent request may run until its answer is recorded.
_RECORD_GRACE_S = 30.0
#: Longest wait in seconds at the end of a cancelled attempt until its backend has cancelled it.
_CANCEL_TIMEOUT_S = 2.0
_CANCELLED = Failure(
    Outcome.UNKNOWN, Step.RUN, "", "the attempt was cancelled or passed its deadline"
)


class Run:
    """One attempt, with its answer so far and how it ended.

    :param request: the attempt as the gateway sent it
    :param now_s: time in seconds of the timer service
    """

    def __init__(self, request: RunRequest, now_s: float) -> None:
        self.request = request
        self.started_s = now_s
        self.deadline_s = now_s + request.deadline_ms / 1000
        self.buffer = AnswerBuffer(_MAX_BUFFER_BYTES)
        self.head: BackendHead | None = None
        self.failure: Failure | None = None
        self.replayed = False
        self.done = False
        #: Whether the end was sent to a gateway.
        self.delivered = False
        #: Number of gateway streams that relay this attempt.
        self.attached = 0
        self.detached_s = now_s
        self.scope = CancelScope()
        self._pending: list[bytes] = []
        self._flushed_s = 0.0
        #: Number of keep-alives that were due so far.
        self.keep_alives = 0
        self._is_unchanged = False
        self._changed: Event | None = None

    @property
    def has_pending(self) -> bool:
        """Whether data waits for the next tick."""
        return bool(self._pending)

    def add(self, data: bytes, now_s: float, tick_s: float) -> bool:
        """Add data of the answer.

        :return: whether data waits for the next tick
        """
        self._pending.append(data)
        if now_s - self._flushed_s >= tick_s:
            self.flush(now_s)
        return self.has_pending

    def flush(self, now_s: float) -> None:
        """Combine all waiting data into one part."""
        if not self._pending:
            return
        self.buffer.append(b"".join(self._pending))
        self._pending.clear()
        self._flushed_s = now_s
        self.notify()

    def finish(self, failure: Failure | None, now_s: float) -> None:
        """End the attempt; only the first end counts."""
        if self.done:
            return
        self.flush(now_s)
        self.failure = failure
        self.done = True
        self.buffer.end()
        self.notify()

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self._is_unchanged = False
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    def keep_alive(self) -> None:
        """Count a keep-alive as due if nothing has changed since the previous call."""
        if not self._is_unchanged or not self.attached:
            self._is_unchanged = True
            return
        self.keep_alives += 1
        self.notify()

    async def wait(self) -> None:
        """Wait for the next change or keep-alive."""
        if self._changed is None:
            self._changed = Event()
        await self._changed.wait()


class RunTable:
    """Runs attempts, and keeps them for a time after their end, to be resumed.

    :param tasks: the task group that runs the attempts
    :param tick_s: minimum number of seconds between parts of one stream
    :param resume_s: seconds that an attempt is kept without a gateway's stream
    """

    def __init__(self, tasks: TaskGroup, tick_s: float, resume_s: float) -> None:
        self._tasks = tasks
        self._tick_s = tick_s
        self._resume_s = resume_s
        self._runs_to_flush: set[Run] = set()
        #: Set while any run has data to flush.
        self._flush_needed = Event()
        self.runs_by_attempt: dict[str, Run] = {}
        self.running = 0

    def open(self, request: RunRequest) -> Run:
        """:return: a new attempt in the table, which is not running yet"""
        run = Run(request, current_time())
        self.runs_by_attempt[request.attempt_id] = run
        return run

    async def execute(self, run: Run, backend: Backend) -> Failure | None:
        """Run an attempt at a back end until its deadline.

        :return: nothing when the answer is complete, else how it failed
        """
        self.running += 1
        failure: Failure | None = _CANCELLED
        grace_s = 0.0 if run.request.idempotent else _RECORD_GRACE_S
        run.scope.deadline = run.deadline_s + grace_s
        try:
            with run.scope:
                failure = await self._collect(run, backend)
            if run.scope.cancelled_caught:
                # Until then the backend runs the attempt, so its model must not be unloaded.
                with move_on_after(_CANCEL_TIMEOUT_S, shield=True):
                    await backend.cancel(run.request)
        finally:
            self.running -= 1
        run.flush(current_time())
        return failure

    async def _collect(self, run: Run, backend: Backend) -> Failure | None:
        async with aclosing(backend.run(run.request)) as items:
            async for item in items:
                if isinstance(item, Failure):
                    return item
                if isinstance(item, BackendHead):
                    run.head = item
                    run.notify()
                elif run.add(item.data, current_time(), self._tick_s):
                    self._runs_to_flush.add(run)
                    self._flush_needed.set()
        return None

    async def flush_forever(self) -> None:
        """Flush the runs with waiting data, once per tick."""
        while True:
            await self._flush_needed.wait()
            self._flush_needed = Event()
            await sleep(self._tick_s)
            now_s = current_time()
            for run in self._runs_to_flush:
                run.flush(now_s)
            self._runs_to_flush.clear()

    def keep_alive(self, now_s: float) -> None:
        """Count keep-alives of unchanged attempts; called twice per keep-alive interval."""
        for run in self.runs_by_attempt.values():
            run.keep_alive()

    def sweep(self, now_s: float) -> None:
        """Cancel attempts that no gateway has resumed in time, and drop those that have ended."""
        for attempt_id, run in list(self.runs_by_attempt.items()):
            if run.attached or now_s - run.detached_s < self._resume_s:
                continue
            if run.done:
                del self.runs_by_attempt[attempt_id]
            elif run.request.idempotent:
                run.scope.cancel()

    def cancel(self, attempt_id: str) -> None:
        """Cancel an idempotent attempt; others go on, as their outcome must be recorded."""
        run = self.runs_by_attempt.get(attempt_id)
        if run is not None and run.request.idempotent:
            run.scope.cancel()

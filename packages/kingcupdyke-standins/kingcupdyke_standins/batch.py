"""
kingcupdyke_standins.batch
~~~~~~~~~~~~~~~~~~~~~~~~~~

Continuous batching: requests run concurrently, and the time per token grows with their number.
"""

from collections import OrderedDict, deque
from heapq import heappop, heappush
from typing import NamedTuple

from anyio import Event, current_time, sleep, sleep_until

from kingcupdyke_standins.answer import build_answer, build_chunk

__all__ = ["Batcher", "LoadReport", "Run", "RunRequest", "Speed"]

#: Number of runs above which the oldest are forgotten once ended; their streams can then no longer
#: be resumed.
MAX_KEPT_RUNS = 500
#: Interval of load reports.
REPORT_INTERVAL_S = 0.02
#: Number of load reports kept, from which a lagging report is answered.
MAX_KEPT_REPORTS = 500
#: Limit of the prompt tokens that are prefilled in one step.
MAX_PREFILL_TOKENS_PER_STEP = 1024.0


class Speed(NamedTuple):
    """Speed and batch size of an engine."""

    #: Time per token if a single request runs.
    token_ms: float
    #: Increase of the time per token for each further request in the batch.
    batch_slope_ms: float
    #: Time to the first token for a prompt without cached prefix blocks.
    first_token_ms: float
    #: Requests that run concurrently.
    slots: int
    #: Prompt tokens prefilled per second, one prompt after the other. Prefill delays the tokens of
    #: all running requests. With 0 it is not simulated, and a request is delayed only by its own
    #: time to the first token.
    prompt_tokens_per_s: float = 0.0


class LoadReport(NamedTuple):
    """The load of an engine at one time."""

    #: Time of the report on the clock of the event loop.
    created_s: float
    running: int
    waiting: int
    token_interval_ms: float


class RunRequest(NamedTuple):
    """Parameters of a request to an engine."""

    request_id: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    chat: bool


class Run:
    """A request in the batcher, which is waiting, running or ended."""

    def __init__(
        self, request: RunRequest, first_token_s: float, unread_tokens: float = 0.0
    ) -> None:
        self.request = request
        #: Prompt tokens that are not prefilled yet, if prefill is simulated.
        self.unread_tokens = unread_tokens
        #: Seconds from the admission to a slot to the first token.
        self.first_token_s = first_token_s
        #: Time from which tokens are generated; infinite while the request is waiting.
        self.ready_s = float("inf")
        #: SSE events generated so far.
        self.events: list[bytes] = []
        self.tokens = 0
        self.cancelled = False
        self._changed = Event()

    @property
    def ended(self) -> bool:
        """Whether all tokens are generated or the run is cancelled."""
        return self.cancelled or self.tokens >= self.request.max_tokens

    def advance(self) -> None:
        """Generate the next token."""
        request = self.request
        self.events += build_chunk(
            request.request_id,
            request.model,
            request.prompt,
            self.tokens,
            request.max_tokens,
            request.chat,
        )
        self.tokens += 1
        self.notify_waiters()

    def finish(self) -> None:
        """Generate all remaining tokens immediately."""
        while not self.ended:
            self.advance()

    def cancel(self) -> None:
        """End the run without further tokens."""
        self.cancelled = not self.ended
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Resume the tasks in :meth:`wait_change`."""
        self._changed.set()
        self._changed = Event()

    async def wait_change(self) -> None:
        """Wait for the next token or the end."""
        await self._changed.wait()

    async def wait_end(self) -> None:
        """Wait until the run has ended."""
        while not self.ended:
            await self.wait_change()

    def build_body(self) -> bytes:
        """:return: the body of the answer that is not streamed"""
        request = self.request
        return build_answer(
            request.request_id, request.model, request.prompt, request.max_tokens, request.chat
        )


class Batcher:
    """Runs requests in slots; the others wait, ordered by priority number and arrival."""

    def __init__(self, speed: Speed) -> None:
        self._speed = speed
        self._running: list[Run] = []
        self._waiting: list[tuple[int, int, Run]] = []
        #: Number of submitted requests; orders waiting requests of equal priority by arrival.
        self._submit_count = 0
        self._runs_by_id: OrderedDict[str, Run] = OrderedDict()
        self._submit_event = Event()
        self._reports: deque[LoadReport] = deque([self._report(0.0)], maxlen=MAX_KEPT_REPORTS)

    def submit(self, run: Run) -> None:
        """Start a request, or let it wait for a slot."""
        self._submit_count += 1
        heappush(self._waiting, (run.request.priority, self._submit_count, run))
        self._runs_by_id[run.request.request_id] = run
        self._forget_ended()
        self._admit(current_time())
        self._submit_event.set()

    def find(self, request_id: str) -> Run | None:
        """:return: a request that is waiting, running or recently ended, or None"""
        return self._runs_by_id.get(request_id)

    def count_users(self, model: str, adapter: str) -> int:
        """:return: the number of requests for a model that have not ended

        :param adapter: counts only requests for this adapter; the empty string counts all
        """
        runs = [each.request for each in self._runs_by_id.values() if not each.ended]
        return sum(r.model == model and adapter in ("", r.adapter) for r in runs)

    def cancel(self, request_id: str) -> None:
        """Cancel a request; an unknown id is ignored."""
        run = self.find(request_id)
        if run is not None:
            run.cancel()
            self._remove_ended()

    def cancel_all(self) -> None:
        """Cancel all requests."""
        for run in self._runs_by_id.values():
            run.cancel()
        self._remove_ended()

    def report_at(self, time_s: float) -> LoadReport:
        """:return: the latest report that was created by a time, or the oldest one kept"""
        created = [report for report in self._reports if report.created_s <= time_s]
        return created[-1] if created else self._reports[0]

    async def step_forever(self) -> None:
        """Generate one token per step for each running request, until cancelled."""
        step_s = current_time()
        while True:
            if not self._running:
                self._submit_event = Event()
                await self._submit_event.wait()
                step_s = current_time()
            interval_s = self._interval_ms() / 1000 + self._prefill_prompts()
            step_s = max(step_s + interval_s, current_time())
            await sleep_until(step_s)
            self._step(current_time())

    async def report_forever(self) -> None:
        """Record the load at a fixed interval, until cancelled."""
        while True:
            self._reports.append(self._report(current_time()))
            await sleep(REPORT_INTERVAL_S)

    def _interval_ms(self) -> float:
        others = max(0, len(self._running) - 1)
        return self._speed.token_ms + self._speed.batch_slope_ms * others

    def _prefill_prompts(self) -> float:
        """Prefill the next tokens of the running requests' prompts.

        :return: seconds that the prefill takes
        """
        if not self._speed.prompt_tokens_per_s:
            return 0.0
        left_tokens = MAX_PREFILL_TOKENS_PER_STEP
        for run in self._running:
            if run.unread_tokens and left_tokens:
                prefilled = min(left_tokens, run.unread_tokens)
                run.unread_tokens -= prefilled
                left_tokens -= prefilled
        return (MAX_PREFILL_TOKENS_PER_STEP - left_tokens) / self._speed.prompt_tokens_per_s

    def _report(self, now_s: float) -> LoadReport:
        waiting = sum(not run.ended for _, _, run in self._waiting)
        return LoadReport(now_s, len(self._running), waiting, self._interval_ms())

    def _step(self, now_s: float) -> None:
        for run in self._running:
            if run.ready_s <= now_s and not run.unread_tokens and not run.ended:
                run.advance()
        self._remove_ended()

    def _remove_ended(self) -> None:
        self._running = [run for run in self._running if not run.ended]
        self._admit(current_time())

    def _admit(self, now_s: float) -> None:
        while self._waiting and len(self._running) < self._speed.slots:
            _, _, run = heappop(self._waiting)
            if not run.ended:
                run.ready_s = now_s + run.first_token_s
                self._running.append(run)

    def _forget_ended(self) -> None:
        while len(self._runs_by_id) > MAX_KEPT_RUNS:
            oldest = next(iter(self._runs_by_id.values()))
            if not oldest.ended:
                return
            self._runs_by_id.popitem(last=False)

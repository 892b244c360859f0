"""
kingcupdyke_standins.batch
~~~~~~~~~~~~~~~~~~~~~~~~~~

Continuous batching: requests that run together, slower the more there are.
"""

from collections import OrderedDict, deque
from heapq import heappop, heappush
from typing import NamedTuple

from anyio import Event, current_time, sleep, sleep_until

from kingcupdyke_standins.answer import build_chunk, build_whole

__all__ = ["Batcher", "LoadReport", "Run", "RunRequest", "Speed"]

#: Ended requests whose streams can still be taken up.
ENDED_HELD = 500
#: Seconds between load reports, and how many are kept for a lagging answer.
REPORT_PERIOD_S = 0.02
REPORTS_HELD = 500
#: Most prompt tokens that are read in one step.
CHUNK_TOKENS = 1024.0


class Speed(NamedTuple):
    """How fast an engine is."""

    #: Time per token of a request that runs alone.
    token_ms: float
    #: Time that each further request of the batch adds to it.
    batch_slope_ms: float
    #: Time of a prompt of which nothing is cached.
    first_token_ms: float
    #: Requests that run at once.
    slots: int
    #: Prompt tokens read in a second, one prompt after the other between steps; with 0 a prompt
    #: takes its time whatever else runs.
    prompt_tokens_per_s: float = 0.0


class LoadReport(NamedTuple):
    """The load at a time."""

    made_s: float
    running: int
    waiting: int
    token_interval_ms: float


class RunRequest(NamedTuple):
    """What a request asks of an engine."""

    request_id: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    chat: bool


class Run:
    """A request that waits, runs or has ended."""

    def __init__(
        self, request: RunRequest, first_token_s: float, unread_tokens: float = 0.0
    ) -> None:
        self.request = request
        #: Prompt tokens that are still to be read, where prompts are read one after the other.
        self.unread_tokens = unread_tokens
        #: Seconds from its start in the batch to its first token.
        self.first_token_s = first_token_s
        #: Time from which it makes tokens.
        self.ready_s = float("inf")
        #: SSE events made so far.
        self.events: list[bytes] = []
        self.tokens = 0
        self.cancelled = False
        self._changed = Event()

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.cancelled or self.tokens >= self.request.max_tokens

    def advance(self) -> None:
        """Make the next token."""
        each = self.request
        self.events += build_chunk(
            each.request_id, each.model, each.prompt, self.tokens, each.max_tokens, each.chat
        )
        self.tokens += 1
        self.wake()

    def finish(self) -> None:
        """Make all tokens at once."""
        while not self.ended:
            self.advance()

    def cancel(self) -> None:
        """End it where it is."""
        self.cancelled = not self.ended
        self.wake()

    def wake(self) -> None:
        """Wake those that wait for a change."""
        self._changed.set()
        self._changed = Event()

    async def wait_change(self) -> None:
        """Wait for a token or the end."""
        await self._changed.wait()

    async def wait_end(self) -> None:
        """Wait until no more tokens will come."""
        while not self.ended:
            await self.wait_change()

    def build_body(self) -> bytes:
        """:return: the body of the whole answer"""
        each = self.request
        return build_whole(each.request_id, each.model, each.prompt, each.max_tokens, each.chat)


class Batcher:
    """Runs requests in slots; the rest waits, the lowest priority number first."""

    def __init__(self, speed: Speed) -> None:
        self._speed = speed
        self._running: list[Run] = []
        self._waiting: list[tuple[int, int, Run]] = []
        self._submitted = 0
        self._runs_by_id: OrderedDict[str, Run] = OrderedDict()
        self._woken = Event()
        self._reports: deque[LoadReport] = deque([self._report(0.0)], maxlen=REPORTS_HELD)

    def submit(self, run: Run) -> None:
        """Take a request in."""
        self._submitted += 1
        heappush(self._waiting, (run.request.priority, self._submitted, run))
        self._runs_by_id[run.request.request_id] = run
        self._forget_ended()
        self._admit(current_time())
        self._woken.set()

    def find(self, request_id: str) -> Run | None:
        """:return: a request that waits, runs or has just ended"""
        return self._runs_by_id.get(request_id)

    def count_users(self, model: str, adapter: str) -> int:
        """:return: the requests that have not ended

        :param adapter: only those of this adapter; the empty string counts all
        """
        runs = [each.request for each in self._runs_by_id.values() if not each.ended]
        return sum(r.model == model and adapter in ("", r.adapter) for r in runs)

    def cancel(self, request_id: str) -> None:
        """Stop a request; an unknown one is ignored."""
        run = self.find(request_id)
        if run is not None:
            run.cancel()
            self._remove_ended()

    def cancel_all(self) -> None:
        """Stop every request."""
        for run in self._runs_by_id.values():
            run.cancel()
        self._remove_ended()

    def report_at(self, time_s: float) -> LoadReport:
        """:return: the latest report made by a time, or the oldest one that is kept"""
        made = [report for report in self._reports if report.made_s <= time_s]
        return made[-1] if made else self._reports[0]

    async def step_forever(self) -> None:
        """Make tokens, one of each running request a step."""
        step_s = current_time()
        while True:
            if not self._running:
                self._woken = Event()
                await self._woken.wait()
                step_s = current_time()
            interval_s = self._interval_ms() / 1000 + self._read_prompts()
            step_s = max(step_s + interval_s, current_time())
            await sleep_until(step_s)
            self._step(current_time())

    async def report_forever(self) -> None:
        """Note the load at each period."""
        while True:
            self._reports.append(self._report(current_time()))
            await sleep(REPORT_PERIOD_S)

    def _interval_ms(self) -> float:
        others = max(0, len(self._running) - 1)
        return self._speed.token_ms + self._speed.batch_slope_ms * others

    def _read_prompts(self) -> float:
        """Read the next part of the prompts.

        :return: seconds that it takes
        """
        if not self._speed.prompt_tokens_per_s:
            return 0.0
        left = CHUNK_TOKENS
        for run in self._running:
            if run.unread_tokens and left:
                read = min(left, run.unread_tokens)
                run.unread_tokens -= read
                left -= read
        return (CHUNK_TOKENS - left) / self._speed.prompt_tokens_per_s

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
        while len(self._runs_by_id) > ENDED_HELD:
            oldest = next(iter(self._runs_by_id.values()))
            if not oldest.ended:
                return
            self._runs_by_id.popitem(last=False)

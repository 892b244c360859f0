"""
kingcupdyke_daemon.sidecar.work
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Attempts from their arrival to their end: admitted, claimed, run, recorded.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from anyio import current_time
from anyio.abc import TaskGroup

from kingcupdyke.attempt import AttemptMachine
from kingcupdyke.drain import DrainMachine
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.fence import EndpointGuard
from kingcupdyke.idempotency import (
    Claimed,
    ClaimResult,
    KeyReused,
    Replay,
    StillRunning,
    Unclaimed,
    UnknownRun,
)
from kingcupdyke.keyrecord import KeyRecord, KeyState
from kingcupdyke.resume import AttemptMemory
from kingcupdyke.rule import RuleSet
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.sidecar.backend import (
    Backend,
    BackendHead,
    EngineBackend,
    ServiceBackend,
)
from kingcupdyke_daemon.sidecar.check import find_run_problem
from kingcupdyke_daemon.sidecar.health import BackEndHealth
from kingcupdyke_daemon.sidecar.keys import IdempotencyKeyManager
from kingcupdyke_daemon.sidecar.orders import OrderManager
from kingcupdyke_daemon.sidecar.run import Run, RunTable
from kingcupdyke_wire.sidecar_pb2 import RunRequest

__all__ = ["AttemptManager", "AttemptDependencies"]

#: Seconds for which attempts are remembered after their end.
_REMEMBER_S = 600.0
#: Seconds after which a refused caller may come back.
_RETRY_AFTER_S = 0.5


class AttemptDependencies(NamedTuple):
    """The parts of the sidecar that work goes through."""

    table: RunTable
    keys: IdempotencyKeyManager
    orders: OrderManager | None
    engine: EngineBackend | None
    services: ServiceBackend
    health: BackEndHealth
    service_names: frozenset[str]
    drain: DrainMachine
    guard: EndpointGuard
    most_in_flight: int
    incarnation: str
    peer: str
    get_rules: Callable[[], RuleSet]
    metrics: DaemonMetrics


class AttemptManager:
    """Takes attempts and runs each at most once.

    :param parts: what the work goes through
    :param tasks: the task group that carries the attempts
    """

    def __init__(self, parts: AttemptDependencies, tasks: TaskGroup) -> None:
        self._parts = parts
        self._tasks = tasks
        self._memory = AttemptMemory(_REMEMBER_S)
        #: Attempts in progress by the name of their model, adapter or service.
        self.in_use: Counter[str] = Counter()

    def take(self, request: RunRequest) -> Run | Failure:
        """Find the attempt that a message asks for, or begin it.

        :param request: the message
        :return: the attempt to relay, or the refusal
        """
        parts = self._parts
        now_s = current_time()
        problem = find_run_problem(request)
        if problem:
            return Failure(Outcome.NOT_RUN, Step.PARSE, parts.peer, problem)
        run = parts.table.runs_by_attempt.get(request.attempt_id)
        if run is not None:
            return self._resume(run, request)
        if request.resume:
            same = request.incarnation == parts.incarnation
            age_s = request.age_ms / 1000
            outcome = self._memory.resolve(request.attempt_id, same, age_s, now_s)
            return self._refuse(Step.RELAY, "the attempt is not held here", outcome)
        if not self._memory.arrived(request.attempt_id, now_s):
            return self._refuse(Step.ADMIT, "the attempt was given up", Outcome.UNKNOWN)
        refusal = self._check(request)
        if refusal is not None:
            return refusal
        run = parts.table.open(request)
        self._count(request, 1)
        self._tasks.start_soon(self._carry, run)
        return run

    def _resume(self, run: Run, request: RunRequest) -> Run | Failure:
        checked = run.buffer.check_resume(request.resume_offset)
        return run if checked.is_ok() else checked.error

    def _check(self, request: RunRequest) -> Failure | None:
        parts = self._parts
        for checked in (parts.guard.check(Step.ADMIT), parts.drain.admit(request.attempt_id)):
            if checked.is_error():
                parts.drain.finished(request.attempt_id)
                return checked.error
        reason = self._object(request)
        if reason:
            parts.drain.finished(request.attempt_id)
            return self._refuse(Step.ADMIT, reason)
        return None

    def _object(self, request: RunRequest) -> str:
        """:return: why an attempt can't run here, or the empty string"""
        parts = self._parts
        if parts.table.running >= parts.most_in_flight:
            return "too many requests run here"
        if not parts.health.is_up(request.target):
            return "the back end takes no connections"
        if request.target in parts.service_names:
            return "adapter: a service has none" if request.adapter else ""
        if parts.orders is None or request.target not in parts.orders.models:
            return f"{request.target} is not resident here"
        return ""

    def _refuse(self, step: Step, reason: str, outcome: Outcome = Outcome.NOT_RUN) -> Failure:
        return Failure(outcome, step, self._parts.peer, reason, _RETRY_AFTER_S)

    def _count(self, request: RunRequest, change: int) -> None:
        for name in {request.target, request.adapter} - {""}:
            self.in_use[name] += change

    async def _carry(self, run: Run) -> None:
        request = run.request
        needs_claim = bool(request.idempotency_key) and not request.idempotent
        machine = AttemptMachine(request.attempt_id, self._parts.peer, needs_claim, run.deadline_s)
        record: KeyRecord | None = None
        try:
            failure = await self._prepare(request)
            if failure is None and needs_claim:
                record = self._parts.keys.make_record(request)
                failure = self._judge(await self._parts.keys.claim(record), run, machine)
            if failure is None and not run.done:
                failure = await self._run(run, machine)
            run.finish(failure, current_time())
            outcome = failure.outcome.value if failure else "delivered"
            self._parts.metrics.count(f"attempt_{outcome}")
        finally:
            self._count(request, -1)
            self._parts.drain.finished(request.attempt_id)
            if record is not None and machine.key_state is not None:
                self._parts.keys.settle(_settle(record, machine.key_state, run))

    async def _prepare(self, request: RunRequest) -> Failure | None:
        if not request.adapter:
            return None
        rule = self._parts.get_rules().adapters_by_name.get(request.adapter)
        if rule is None:
            return self._refuse(Step.ADMIT, f"adapter {request.adapter} is not known here yet")
        loaded = await self._parts.orders.ensure_adapter(
            request.target, request.adapter, rule.adapter_bytes
        )
        return loaded.error if loaded.is_error() else None

    def _judge(self, result: ClaimResult, run: Run, machine: AttemptMachine) -> Failure | None:
        """:return: why the attempt does not run; None when it may, or has its recorded answer"""
        self._parts.metrics.count(f"claim_{_NAMES_BY_RESULT[type(result)]}")
        if isinstance(result, Claimed):
            claimed = machine.claimed()
            return claimed.error if claimed.is_error() else None
        if isinstance(result, Replay) and not result.record.truncated:
            _replay(run, result.record)
            return None
        if isinstance(result, Unclaimed):
            return result.failure._replace(peer=self._parts.peer)
        outcome, reason, retry_after_s = _EXPLANATIONS[type(result)]
        return Failure(outcome, Step.CLAIM, self._parts.peer, reason, retry_after_s)

    async def _run(self, run: Run, machine: AttemptMachine) -> Failure | None:
        sent = machine.send(current_time())
        if sent.is_error():
            return sent.error
        service = run.request.target in self._parts.service_names
        backend: Backend = self._parts.services if service else self._parts.engine
        failure = await self._parts.table.execute(run, backend)
        self._parts.health.hear(run.request.target, failure)
        if failure is None:
            machine.started()
            machine.ended()
            return None
        if failure.outcome is Outcome.NOT_RUN:
            return machine.unsent(failure.step, failure.reason, _RETRY_AFTER_S)
        return machine.failure(failure.step, failure.reason)


_NAMES_BY_RESULT = {
    Claimed: "claimed",
    Replay: "replay",
    StillRunning: "still_running",
    UnknownRun: "unknown",
    KeyReused: "reused",
    Unclaimed: "unclaimed",
}
_EXPLANATIONS = {
    StillRunning: (Outcome.UNKNOWN, "the request with this key still runs", 1.0),
    UnknownRun: (Outcome.UNKNOWN, "outcome unknown: not run again", None),
    Replay: (Outcome.UNKNOWN, "the request ran once; its answer was too large to keep", None),
    KeyReused: (Outcome.FAILED, "the key came before with another request", None),
}


def _replay(run: Run, record: KeyRecord) -> None:
    run.head = BackendHead(record.status, record.content_type)
    run.replayed = True
    now_s = current_time()
    run.add(record.answer, now_s, 0.0)
    run.finish(None, now_s)


def _settle(record: KeyRecord, state: str, run: Run) -> KeyRecord:
    if state != KeyState.ANSWERED:
        return record._replace(state=state)
    if run.head is None or run.buffer.first_offset:
        return record._replace(state=state, truncated=True)
    answer = b"".join(data for _, data in run.buffer.parts_from(run.buffer.first_offset))
    return record._replace(
        state=state, status=run.head.status, content_type=run.head.content_type, answer=answer
    )

"""
kingcupdyke_daemon.sidecar.attempts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Attempts from arrival to end: admission, claim of the key, run, and record.
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
from kingcupdyke.resume import AttemptHistory
from kingcupdyke.rule import RuleSet
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.sidecar.backend import (
    Backend,
    BackendHead,
    EngineBackend,
    ServiceBackend,
)
from kingcupdyke_daemon.sidecar.check import find_run_problem
from kingcupdyke_daemon.sidecar.health import BackendHealth
from kingcupdyke_daemon.sidecar.keys import IdempotencyKeyManager
from kingcupdyke_daemon.sidecar.orders import OrderManager
from kingcupdyke_daemon.sidecar.run import Run, RunTable
from kingcupdyke_wire.sidecar_pb2 import RunRequest

__all__ = ["AttemptManager", "AttemptDependencies"]

#: Seconds for which ids of attempts are kept, to detect duplicates and to answer resumes.
_MEMORY_S = 600.0
#: Seconds after which a refused request may be retried.
_RETRY_AFTER_S = 0.5


class AttemptDependencies(NamedTuple):
    """Objects and callbacks that the attempt manager uses."""

    table: RunTable
    keys: IdempotencyKeyManager
    orders: OrderManager | None
    engine: EngineBackend | None
    services: ServiceBackend
    health: BackendHealth
    service_names: frozenset[str]
    drain: DrainMachine
    guard: EndpointGuard
    max_in_flight: int
    incarnation: str
    peer: str
    get_rules: Callable[[], RuleSet]
    metrics: DaemonMetrics


class AttemptManager:
    """Accepts attempts and runs each at most once.

    :param deps: the objects and callbacks that it uses
    :param tasks: the task group that runs the attempts
    """

    def __init__(self, deps: AttemptDependencies, tasks: TaskGroup) -> None:
        self._deps = deps
        self._tasks = tasks
        self._memory = AttemptHistory(_MEMORY_S)
        #: Number of attempts in progress for each model, adapter or service.
        self.in_use: Counter[str] = Counter()

    def accept(self, request: RunRequest) -> Run | Failure:
        """Find the attempt of a message, or start it.

        :param request: the message
        :return: the attempt to relay, or the refusal
        """
        deps = self._deps
        now_s = current_time()
        problem = find_run_problem(request)
        if problem:
            return Failure(Outcome.NOT_RUN, Step.PARSE, deps.peer, problem)
        run = deps.table.runs_by_attempt.get(request.attempt_id)
        if run is not None:
            return self._resume(run, request)
        if request.resume:
            is_same_incarnation = request.incarnation == deps.incarnation
            age_s = request.age_ms / 1000
            outcome = self._memory.resolve(request.attempt_id, is_same_incarnation, age_s, now_s)
            return self._make_failure(
                Step.RELAY, "the attempt is not known to this sidecar", outcome
            )
        if not self._memory.arrived(request.attempt_id, now_s):
            return self._make_failure(
                Step.ADMIT,
                "the attempt arrived before, or was reported as not run",
                Outcome.UNKNOWN,
            )
        refusal = self._check_admission(request)
        if refusal is not None:
            return refusal
        run = deps.table.open(request)
        self._count_in_use(request, 1)
        self._tasks.start_soon(self._run_to_end, run)
        return run

    def _resume(self, run: Run, request: RunRequest) -> Run | Failure:
        checked = run.buffer.check_resume(request.resume_offset)
        return run if checked.is_ok() else checked.error

    def _check_admission(self, request: RunRequest) -> Failure | None:
        deps = self._deps
        for checked in (deps.guard.check(Step.ADMIT), deps.drain.admit(request.attempt_id)):
            if checked.is_error():
                deps.drain.finished(request.attempt_id)
                return checked.error
        reason = self._find_refusal_reason(request)
        if reason:
            deps.drain.finished(request.attempt_id)
            return self._make_failure(Step.ADMIT, reason)
        return None

    def _find_refusal_reason(self, request: RunRequest) -> str:
        """:return: why an attempt can't run here, or the empty string"""
        deps = self._deps
        if deps.table.running >= deps.max_in_flight:
            return "too many requests are in progress at this endpoint"
        if not deps.health.is_up(request.target):
            return "the backend does not accept connections"
        if request.target in deps.service_names:
            return "adapter: a service has none" if request.adapter else ""
        if deps.orders is None or request.target not in deps.orders.models:
            return f"{request.target} is not resident at this endpoint"
        return ""

    def _make_failure(self, step: Step, reason: str, outcome: Outcome = Outcome.NOT_RUN) -> Failure:
        return Failure(outcome, step, self._deps.peer, reason, _RETRY_AFTER_S)

    def _count_in_use(self, request: RunRequest, change: int) -> None:
        for name in {request.target, request.adapter} - {""}:
            self.in_use[name] += change

    async def _run_to_end(self, run: Run) -> None:
        request = run.request
        needs_claim = bool(request.idempotency_key) and not request.idempotent
        machine = AttemptMachine(request.attempt_id, self._deps.peer, needs_claim, run.deadline_s)
        record: KeyRecord | None = None
        try:
            failure = await self._load_adapter(request)
            if failure is None and needs_claim:
                record = self._deps.keys.make_record(request)
                failure = self._apply_claim_result(
                    await self._deps.keys.claim(record), run, machine
                )
            if failure is None and not run.done:
                failure = await self._run_at_backend(run, machine)
            run.finish(failure, current_time())
            outcome = failure.outcome.value if failure else "delivered"
            self._deps.metrics.count(f"attempt_{outcome}")
        finally:
            self._count_in_use(request, -1)
            self._deps.drain.finished(request.attempt_id)
            if record is not None and machine.key_state is not None:
                self._deps.keys.settle(_make_settled_record(record, machine.key_state, run))

    async def _load_adapter(self, request: RunRequest) -> Failure | None:
        if not request.adapter:
            return None
        rule = self._deps.get_rules().adapters_by_name.get(request.adapter)
        if rule is None:
            return self._make_failure(
                Step.ADMIT, f"adapter {request.adapter} is not in this sidecar's configuration yet"
            )
        loaded = await self._deps.orders.ensure_adapter(
            request.target, request.adapter, rule.adapter_bytes
        )
        return loaded.error if loaded.is_error() else None

    def _apply_claim_result(
        self, result: ClaimResult, run: Run, machine: AttemptMachine
    ) -> Failure | None:
        """:return: why the attempt does not run; None if it may run or got the recorded answer"""
        self._deps.metrics.count(f"claim_{_NAMES_BY_RESULT[type(result)]}")
        if isinstance(result, Claimed):
            claimed = machine.claimed()
            return claimed.error if claimed.is_error() else None
        if isinstance(result, Replay) and not result.record.truncated:
            _replay_answer(run, result.record)
            return None
        if isinstance(result, Unclaimed):
            return result.failure._replace(peer=self._deps.peer)
        outcome, reason, retry_after_s = _EXPLANATIONS[type(result)]
        return Failure(outcome, Step.CLAIM, self._deps.peer, reason, retry_after_s)

    async def _run_at_backend(self, run: Run, machine: AttemptMachine) -> Failure | None:
        sent = machine.send(current_time())
        if sent.is_error():
            return sent.error
        is_service = run.request.target in self._deps.service_names
        backend: Backend = self._deps.services if is_service else self._deps.engine
        failure = await self._deps.table.execute(run, backend)
        self._deps.health.record_result(run.request.target, failure)
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
    StillRunning: (Outcome.UNKNOWN, "the request with this key is still running", 1.0),
    UnknownRun: (
        Outcome.UNKNOWN,
        "the outcome of the request with this key is unknown; it is not run again",
        None,
    ),
    Replay: (Outcome.UNKNOWN, "the request ran once; its answer was too large to keep", None),
    KeyReused: (Outcome.FAILED, "the key was used before with another request", None),
}


def _replay_answer(run: Run, record: KeyRecord) -> None:
    run.head = BackendHead(record.status, record.content_type)
    run.replayed = True
    now_s = current_time()
    run.add(record.answer, now_s, 0.0)
    run.finish(None, now_s)


def _make_settled_record(record: KeyRecord, state: str, run: Run) -> KeyRecord:
    if state != KeyState.ANSWERED:
        return record._replace(state=state)
    if run.head is None or run.buffer.first_offset:
        return record._replace(state=state, truncated=True)
    answer = b"".join(data for _, data in run.buffer.parts_from(run.buffer.first_offset))
    return record._replace(
        state=state, status=run.head.status, content_type=run.head.content_type, answer=answer
    )

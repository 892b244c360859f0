"""
kingcupdyke_daemon.gateway.app
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The HTTP interface for callers.
"""

import json
import logging
from collections.abc import Callable
from hashlib import sha256
from typing import NamedTuple
from uuid import uuid4

from anyio import create_task_group
from expression import Error, Ok, Result

from kingcupdyke.demand import DemandTracker
from kingcupdyke.drain import DrainMachine
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.prefix import hash_prefixes
from kingcupdyke.request import Request
from kingcupdyke.rule import ANY_CALLER, CallerRule, RuleSet
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.gateway.admin import AdminApp
from kingcupdyke_daemon.gateway.body import parse_body
from kingcupdyke_daemon.gateway.bodyreader import BodyReader, Receive
from kingcupdyke_daemon.gateway.call import Call, CallHandler
from kingcupdyke_daemon.gateway.reply import (
    Rejection,
    Send,
    make_rejection,
    send_json,
    send_rejection,
)
from kingcupdyke_daemon.gateway.sink import CallerSink
from kingcupdyke_daemon.logs import LineSampler, log_record
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.process import StatusApp
from kingcupdyke_daemon.records import CallRecord, RejectionRecord

__all__ = ["AppDependencies", "GatewayApp"]

_LOGGER = logging.getLogger(__name__)

_MODEL_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
_SERVICE_PREFIX = "/services/"
_DEADLINE_HEADER = "x-deadline-ms"
_KEY_HEADER = "idempotency-key"
_REQUEST_ID_HEADER = "x-request-id"
_MAX_KEY_CHARACTERS = 200
_MAX_ID_CHARACTERS = 128
_MAX_DEADLINE_S = 3600.0


class AppDependencies(NamedTuple):
    """Objects and callbacks that the gateway application uses."""

    call_handler: CallHandler
    status: StatusApp
    admin: AdminApp
    drain: DrainMachine
    demand: DemandTracker
    metrics: DaemonMetrics
    timer: TimerService
    get_rules: Callable[[], RuleSet]
    #: Returns whether this gateway has received a configuration.
    has_rules: Callable[[], bool]
    host: str
    region: str
    body_reader: BodyReader


class _ReceivedRequest(NamedTuple):
    """A request of an authenticated caller, read in full."""

    caller: CallerRule
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    arrived_s: float


class GatewayApp:
    """The ASGI application of a gateway.

    :param deps: the objects and callbacks that it uses
    """

    def __init__(self, deps: AppDependencies) -> None:
        self._deps = deps
        self._sampler = LineSampler(deps.timer.now)

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path.startswith(self._deps.status.paths):
            await self._deps.status(scope, receive, send)
        elif path.startswith("/admin/"):
            await self._deps.admin(scope, receive, send)
        else:
            await self._handle_request(scope, receive, send)

    async def _handle_request(self, scope: dict, receive: Receive, send: Send) -> None:
        headers = {
            name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]
        }
        external_id = headers.get(_REQUEST_ID_HEADER, "")[:_MAX_ID_CHARACTERS] or uuid4().hex
        read_result = await self._read_request(scope, headers, receive)
        if read_result.is_error():
            if read_result.error is not None:
                await self._reject(send, read_result.error, external_id)
            return
        received = read_result.ok
        try:
            await self._answer(received, receive, send, external_id)
        finally:
            self._deps.body_reader.release(received.body)

    async def _answer(
        self, received: _ReceivedRequest, receive: Receive, send: Send, external_id: str
    ) -> None:
        """Answer a request that was read in full."""
        reply_headers = ((_REQUEST_ID_HEADER.encode(), external_id.encode("latin-1")),)
        if received.path == "/v1/models" and received.method == "GET":
            await send_json(send, self._list_models(received.caller), headers=reply_headers)
            return
        call_result = self._make_call(received)
        if call_result.is_error():
            await self._reject(send, call_result.error, external_id)
            return
        sink = CallerSink(send, reply_headers, call_result.ok.stream, self._deps.timer)
        await self._execute(call_result.ok, receive, sink, external_id)

    async def _reject(self, send: Send, rejection: Rejection, external_id: str) -> None:
        """Reject a request that did not reach admission, and log it."""
        record = RejectionRecord(
            external_id, rejection.status, rejection.failure.step.value, rejection.failure.reason
        )
        log_record(_LOGGER, "request refused", record)
        headers = ((_REQUEST_ID_HEADER.encode(), external_id.encode("latin-1")),)
        await send_rejection(send, rejection, headers)

    async def _execute(
        self, call: Call, receive: Receive, sink: CallerSink, external_id: str
    ) -> None:
        deps = self._deps
        request = call.request
        admitted = deps.drain.admit(request.request_id)
        if admitted.is_error():
            await sink.fail(make_rejection(admitted.error._replace(retry_after_s=1.0)))
            return
        if not call.service:
            deps.demand.arrived(request.target, deps.region, request.arrived_s)
        outcome = "abandoned"
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
                outcome = await self._run_call(call, sink)
                tasks.cancel_scope.cancel()
        finally:
            deps.drain.finished(request.request_id)
            self._record_metrics(request, sink, outcome)
            self._log_end(call, sink, external_id, outcome)

    async def _run_call(self, call: Call, sink: CallerSink) -> str:
        """Run a call; an unexpected exception ends it with "unknown", as it may have run."""
        try:
            return await self._deps.call_handler.run(call, sink)
        except Exception as error:
            request_id = call.request.request_id
            _LOGGER.exception("request %s failed with an unexpected exception", request_id)
            reason = f"unexpected exception in the gateway: {type(error).__name__}"
            failure = Failure(Outcome.UNKNOWN, Step.RUN, self._deps.host, reason)
            await sink.fail(make_rejection(failure))
            return failure.outcome.value

    def _record_metrics(self, request: Request, sink: CallerSink, outcome: str) -> None:
        metrics = self._deps.metrics
        labels = (request.caller, request.service_class)
        if sink.first_part_s is not None:
            metrics.record_time_to_first_part(*labels, sink.first_part_s - request.arrived_s)
        if sink.part_count > 1:
            mean_interval_s = (sink.latest_part_s - sink.first_part_s) / (sink.part_count - 1)
            metrics.record_time_between_parts(*labels, mean_interval_s)
        metrics.record_request(*labels, self._deps.timer.now() - request.arrived_s, outcome)

    def _log_end(self, call: Call, sink: CallerSink, external_id: str, outcome: str) -> None:
        request = call.request
        failure = None if sink.rejection is None else sink.rejection.failure
        first_part_s = sink.first_part_s
        record = CallRecord(
            request=external_id,
            internal=request.request_id,
            target=request.target,
            adapter=request.adapter,
            caller=request.caller,
            service_class=request.service_class,
            endpoint=sink.endpoint,
            status=sink.status,
            outcome=outcome,
            step="" if failure is None else failure.step.value,
            reason="" if failure is None else failure.reason,
            first_ms=(
                -1 if first_part_s is None else round((first_part_s - request.arrived_s) * 1000)
            ),
            total_ms=round((self._deps.timer.now() - request.arrived_s) * 1000),
        )
        if outcome == "delivered":
            self._sampler.log(_LOGGER, "request ended", record)
        else:
            log_record(_LOGGER, "request ended", record)

    async def _read_request(
        self, scope: dict, headers: dict[str, str], receive: Receive
    ) -> Result[_ReceivedRequest, Rejection | None]:
        arrived_s = self._deps.timer.now()
        if not self._deps.has_rules():
            return Error(
                make_rejection(self._make_failure(Step.CONFIGURE, "no configuration yet", 1.0))
            )
        caller = self._authenticate(headers)
        if caller is None:
            return Error(self._rejection(Step.AUTHENTICATE, 401, "invalid_token", "unknown token"))
        deadline = headers.get(_DEADLINE_HEADER, "")
        timeout_s = int(deadline) / 1000 if _is_deadline(deadline) else _MAX_DEADLINE_S
        read = await self._deps.body_reader.read(receive, headers, timeout_s)
        if read.is_error():
            return read
        query = scope["query_string"].decode("latin-1")
        # The undecoded path, as a service may distinguish an escaped slash (%2F) from a slash.
        path = scope["raw_path"].decode("latin-1")
        return Ok(
            _ReceivedRequest(caller, scope["method"], path, query, headers, read.ok, arrived_s)
        )

    def _authenticate(self, headers: dict[str, str]) -> CallerRule | None:
        scheme, _, token = headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        digest = sha256(token.strip().encode()).hexdigest()
        return self._deps.get_rules().callers_by_digest.get(digest)

    def _rejection(
        self, step: Step, status: int, code: str, reason: str, param: str = ""
    ) -> Rejection:
        return Rejection(status, code, self._make_failure(step, reason), param)

    def _make_failure(self, step: Step, reason: str, retry_after_s: float | None = None) -> Failure:
        return Failure(Outcome.NOT_RUN, step, self._deps.host, reason, retry_after_s)

    def _list_models(self, caller: CallerRule) -> dict:
        rules = self._deps.get_rules()
        entries = (*rules.models_by_name.values(), *rules.adapters_by_name.values())
        names = sorted(each.name for each in entries if _is_allowed(each.callers, caller))
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "kingcupdyke"}
            for name in names
        ]
        return {"object": "list", "data": models}

    def _make_call(self, received: _ReceivedRequest) -> Result[Call, Rejection]:
        if received.path in _MODEL_PATHS:
            if received.method != "POST":
                return Error(self._rejection(Step.PARSE, 405, "method_not_allowed", "use POST"))
            return self._make_model_call(received)
        if received.path.startswith(_SERVICE_PREFIX):
            return self._make_service_call(received)
        reason = f"no such path: {received.path}"
        return Error(self._rejection(Step.PARSE, 404, "not_found", reason))

    def _make_model_call(self, received: _ReceivedRequest) -> Result[Call, Rejection]:
        parsed = parse_body(received.path, received.body)
        if parsed.is_error():
            problem = parsed.error
            return Error(
                self._rejection(Step.PARSE, 400, "invalid_request", problem.message, problem.field)
            )
        body = parsed.ok
        rules = self._deps.get_rules()
        adapter = rules.adapters_by_name.get(body.model)
        model = rules.models_by_name.get(adapter.model if adapter else body.model)
        if model is None:
            reason = f"the model {body.model!r} does not exist"
            return Error(self._rejection(Step.PARSE, 404, "model_not_found", reason, "model"))
        if not _is_allowed((adapter or model).callers, received.caller):
            reason = f"the model {body.model!r} is not available to {received.caller.name}"
            return Error(self._rejection(Step.AUTHENTICATE, 403, "forbidden", reason, "model"))
        deadline = self._read_deadline(received, model.deadline_s)
        if deadline.is_error():
            return deadline
        name = adapter.name if adapter else ""
        request = Request(
            uuid4().hex,
            received.caller.name,
            model.service_class,
            model.name,
            name,
            received.arrived_s,
            deadline.ok,
            True,
            "",
            hash_prefixes(model.name, name, body.prompt),
            len(received.body),
            body.max_tokens,
        )
        forwarded_body = _replace_model(received.body, model.name) if adapter else received.body
        return Ok(
            Call(
                request,
                False,
                received.method,
                received.path,
                "application/json",
                forwarded_body,
                body.stream,
                received.caller.weight,
            )
        )

    def _make_service_call(self, received: _ReceivedRequest) -> Result[Call, Rejection]:
        name, _, path = received.path.removeprefix(_SERVICE_PREFIX).partition("/")
        rule = self._deps.get_rules().services_by_name.get(name)
        if rule is None:
            reason = f"the service {name!r} does not exist"
            return Error(self._rejection(Step.PARSE, 404, "service_not_found", reason))
        if not _is_allowed(rule.callers, received.caller):
            reason = f"the service {name!r} is not available to {received.caller.name}"
            return Error(self._rejection(Step.AUTHENTICATE, 403, "forbidden", reason))
        deadline = self._read_deadline(received, rule.deadline_s)
        if deadline.is_error():
            return deadline
        key = received.headers.get(_KEY_HEADER, "")
        if len(key) > _MAX_KEY_CHARACTERS:
            reason = f"the key exceeds {_MAX_KEY_CHARACTERS} characters"
            return Error(self._rejection(Step.PARSE, 400, "invalid_request", reason, _KEY_HEADER))
        idempotent = received.method in rule.idempotent_methods
        request = Request(
            uuid4().hex,
            received.caller.name,
            rule.service_class,
            rule.name,
            "",
            received.arrived_s,
            deadline.ok,
            idempotent,
            "" if idempotent else key,
            body_bytes=len(received.body),
        )
        target = f"/{path}?{received.query}" if received.query else f"/{path}"
        content_type = received.headers.get("content-type", "")
        return Ok(
            Call(
                request,
                True,
                received.method,
                target,
                content_type,
                received.body,
                False,
                received.caller.weight,
            )
        )

    def _read_deadline(
        self, received: _ReceivedRequest, default_s: float
    ) -> Result[float, Rejection]:
        text = received.headers.get(_DEADLINE_HEADER)
        if text is None:
            return Ok(received.arrived_s + default_s)
        if not _is_deadline(text):
            reason = f"{_DEADLINE_HEADER}: give a whole number of milliseconds above zero"
            return Error(
                self._rejection(Step.PARSE, 400, "invalid_request", reason, _DEADLINE_HEADER)
            )
        return Ok(received.arrived_s + int(text) / 1000)


async def _cancel_on_disconnect(receive: Receive, scope: object) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue
    scope.cancel()


def _is_deadline(text: str) -> bool:
    """:return: whether a header states a permitted deadline in milliseconds"""
    return text.isdecimal() and 0 < int(text) <= _MAX_DEADLINE_S * 1000


def _is_allowed(callers: tuple[str, ...], caller: CallerRule) -> bool:
    return ANY_CALLER in callers or caller.name in callers


def _replace_model(body: bytes, model: str) -> bytes:
    fields = json.loads(body)
    fields["model"] = model
    return json.dumps(fields).encode()

"""
kingcupdyke_daemon.gateway.app
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What callers reach over HTTP.
"""

import json
import logging
from collections.abc import Awaitable, Callable
from hashlib import sha256
from typing import NamedTuple
from uuid import uuid4

from anyio import create_task_group, move_on_after
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
from kingcupdyke_daemon.gateway.call import Call, CallHandler
from kingcupdyke_daemon.gateway.reply import Rejection, Send, reject, send_json, send_rejection
from kingcupdyke_daemon.gateway.sink import CallerSink
from kingcupdyke_daemon.logs import LineSampler, log_record
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.process import StatusApp
from kingcupdyke_daemon.records import CallRecord, RejectionRecord

__all__ = ["AppDependencies", "GatewayApp"]

_LOGGER = logging.getLogger(__name__)

Receive = Callable[[], Awaitable[dict]]

_MODEL_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
_SERVICE_PREFIX = "/services/"
_DEADLINE_HEADER = "x-deadline-ms"
_KEY_HEADER = "idempotency-key"
_REQUEST_ID_HEADER = "x-request-id"
_MOST_KEY_CHARACTERS = 200
_MOST_ID_CHARACTERS = 128
_MOST_DEADLINE_S = 3600.0
#: Seconds in which the next piece of a body must have come.
_BODY_TIMEOUT_S = 5.0


class AppDependencies(NamedTuple):
    """What the application needs."""

    calls: CallHandler
    status: StatusApp
    admin: AdminApp
    drain: DrainMachine
    demand: DemandTracker
    metrics: DaemonMetrics
    timer: TimerService
    get_rules: Callable[[], RuleSet]
    #: Tells whether a configuration is in force here.
    has_rules: Callable[[], bool]
    host: str
    region: str
    most_body_bytes: int


class _Arrival(NamedTuple):
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

    :param parts: what it needs
    """

    def __init__(self, parts: AppDependencies) -> None:
        self._parts = parts
        self._sampler = LineSampler(parts.timer.now)

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path.startswith(self._parts.status.paths):
            await self._parts.status(scope, receive, send)
        elif path.startswith("/admin/"):
            await self._parts.admin(scope, receive, send)
        else:
            await self._answer(scope, receive, send)

    async def _answer(self, scope: dict, receive: Receive, send: Send) -> None:
        headers = {
            name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]
        }
        caller_id = headers.get(_REQUEST_ID_HEADER, "")[:_MOST_ID_CHARACTERS] or uuid4().hex
        reply_headers = ((_REQUEST_ID_HEADER.encode(), caller_id.encode("latin-1")),)
        arrived = await self._read(scope, headers, receive)
        if arrived.is_error():
            if arrived.error is not None:
                await self._reject(send, arrived.error, caller_id)
            return
        arrival = arrived.ok
        if arrival.path == "/v1/models" and arrival.method == "GET":
            await send_json(send, self._list_models(arrival.caller), headers=reply_headers)
            return
        made = self._make_call(arrival)
        if made.is_error():
            await self._reject(send, made.error, caller_id)
            return
        sink = CallerSink(send, reply_headers, made.ok.stream, self._parts.timer)
        await self._carry(made.ok, receive, sink, caller_id)

    async def _reject(self, send: Send, rejection: Rejection, caller_id: str) -> None:
        """Refuse what was not taken as a request."""
        record = RejectionRecord(
            caller_id, rejection.status, rejection.failure.step.value, rejection.failure.reason
        )
        log_record(_LOGGER, "request refused", record)
        headers = ((_REQUEST_ID_HEADER.encode(), caller_id.encode("latin-1")),)
        await send_rejection(send, rejection, headers)

    async def _carry(self, call: Call, receive: Receive, sink: CallerSink, caller_id: str) -> None:
        parts = self._parts
        request = call.request
        admitted = parts.drain.admit(request.request_id)
        if admitted.is_error():
            await sink.fail(reject(admitted.error._replace(retry_after_s=1.0)))
            return
        if not call.service:
            parts.demand.arrived(request.target, parts.region, request.arrived_s)
        outcome = "abandoned"
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
                outcome = await self._run(call, sink)
                tasks.cancel_scope.cancel()
        finally:
            parts.drain.finished(request.request_id)
            self._record(request, sink, outcome)
            self._log_end(call, sink, caller_id, outcome)

    async def _run(self, call: Call, sink: CallerSink) -> str:
        """Run a call; a fault of the gateway's own ends it with "unknown", as it may have run."""
        try:
            return await self._parts.calls.run(call, sink)
        except Exception as error:
            request_id = call.request.request_id
            _LOGGER.exception("request %s met a fault of the gateway", request_id)
            reason = f"a fault of the gateway: {type(error).__name__}"
            failure = Failure(Outcome.UNKNOWN, Step.RUN, self._parts.host, reason)
            await sink.fail(reject(failure))
            return failure.outcome.value

    def _record(self, request: Request, sink: CallerSink, outcome: str) -> None:
        metrics = self._parts.metrics
        names = (request.caller, request.service_class)
        if sink.first_s is not None:
            metrics.record_first(*names, sink.first_s - request.arrived_s)
        if sink.part_count > 1:
            between_s = (sink.latest_s - sink.first_s) / (sink.part_count - 1)
            metrics.record_between(*names, between_s)
        metrics.record_whole(*names, self._parts.timer.now() - request.arrived_s, outcome)

    def _log_end(self, call: Call, sink: CallerSink, caller_id: str, outcome: str) -> None:
        request = call.request
        failure = None if sink.rejection is None else sink.rejection.failure
        first_s = sink.first_s
        record = CallRecord(
            request=caller_id,
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
            first_ms=-1 if first_s is None else round((first_s - request.arrived_s) * 1000),
            total_ms=round((self._parts.timer.now() - request.arrived_s) * 1000),
        )
        if outcome == "delivered":
            self._sampler.log(_LOGGER, "request ended", record)
        else:
            log_record(_LOGGER, "request ended", record)

    async def _read(
        self, scope: dict, headers: dict[str, str], receive: Receive
    ) -> Result[_Arrival, Rejection | None]:
        arrived_s = self._parts.timer.now()
        if not self._parts.has_rules():
            return Error(reject(self._make_failure(Step.CONFIGURE, "no configuration yet", 1.0)))
        caller = self._authenticate(headers)
        if caller is None:
            return Error(self._refuse(Step.AUTHENTICATE, 401, "invalid_token", "unknown token"))
        body = bytearray()
        more = True
        while more:
            with move_on_after(_BODY_TIMEOUT_S) as waiting:
                message = await receive()
            if waiting.cancelled_caught:
                reason = f"no more of the body came for {_BODY_TIMEOUT_S:g} s"
                return Error(self._refuse(Step.PARSE, 408, "body_timeout", reason))
            if message["type"] == "http.disconnect":
                return Error(None)
            body += message.get("body", b"")
            more = message.get("more_body", False)
            if len(body) > self._parts.most_body_bytes:
                reason = f"the body is over {self._parts.most_body_bytes} bytes"
                return Error(self._refuse(Step.PARSE, 413, "body_too_large", reason))
        query = scope["query_string"].decode("latin-1")
        # As it came: a service may tell a quoted slash from a slash.
        path = scope["raw_path"].decode("latin-1")
        return Ok(_Arrival(caller, scope["method"], path, query, headers, bytes(body), arrived_s))

    def _authenticate(self, headers: dict[str, str]) -> CallerRule | None:
        scheme, _, token = headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        digest = sha256(token.strip().encode()).hexdigest()
        return self._parts.get_rules().callers_by_digest.get(digest)

    def _refuse(
        self, step: Step, status: int, code: str, reason: str, param: str = ""
    ) -> Rejection:
        return Rejection(status, code, self._make_failure(step, reason), param)

    def _make_failure(self, step: Step, reason: str, retry_after_s: float | None = None) -> Failure:
        return Failure(Outcome.NOT_RUN, step, self._parts.host, reason, retry_after_s)

    def _list_models(self, caller: CallerRule) -> dict:
        rules = self._parts.get_rules()
        named = (*rules.models_by_name.values(), *rules.adapters_by_name.values())
        names = sorted(each.name for each in named if _is_allowed(each.callers, caller))
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "kingcupdyke"}
            for name in names
        ]
        return {"object": "list", "data": models}

    def _make_call(self, arrival: _Arrival) -> Result[Call, Rejection]:
        if arrival.path in _MODEL_PATHS:
            if arrival.method != "POST":
                return Error(self._refuse(Step.PARSE, 405, "method_not_allowed", "use POST"))
            return self._make_model_call(arrival)
        if arrival.path.startswith(_SERVICE_PREFIX):
            return self._make_service_call(arrival)
        reason = f"no such path: {arrival.path}"
        return Error(self._refuse(Step.PARSE, 404, "not_found", reason))

    def _make_model_call(self, arrival: _Arrival) -> Result[Call, Rejection]:
        parsed = parse_body(arrival.path, arrival.body)
        if parsed.is_error():
            problem = parsed.error
            return Error(
                self._refuse(Step.PARSE, 400, "invalid_request", problem.message, problem.field)
            )
        body = parsed.ok
        rules = self._parts.get_rules()
        adapter = rules.adapters_by_name.get(body.model)
        model = rules.models_by_name.get(adapter.model if adapter else body.model)
        if model is None:
            reason = f"the model {body.model!r} does not exist"
            return Error(self._refuse(Step.PARSE, 404, "model_not_found", reason, "model"))
        if not _is_allowed((adapter or model).callers, arrival.caller):
            reason = f"the model {body.model!r} is not for {arrival.caller.name}"
            return Error(self._refuse(Step.AUTHENTICATE, 403, "forbidden", reason, "model"))
        deadline = self._read_deadline(arrival, model.deadline_s)
        if deadline.is_error():
            return deadline
        name = adapter.name if adapter else ""
        request = Request(
            uuid4().hex,
            arrival.caller.name,
            model.service_class,
            model.name,
            name,
            arrival.arrived_s,
            deadline.ok,
            True,
            "",
            hash_prefixes(model.name, name, body.prompt),
            len(arrival.body),
            body.max_tokens,
        )
        sent = _replace_model(arrival.body, model.name) if adapter else arrival.body
        return Ok(
            Call(
                request,
                False,
                arrival.method,
                arrival.path,
                "application/json",
                sent,
                body.stream,
                arrival.caller.weight,
            )
        )

    def _make_service_call(self, arrival: _Arrival) -> Result[Call, Rejection]:
        name, _, path = arrival.path.removeprefix(_SERVICE_PREFIX).partition("/")
        rule = self._parts.get_rules().services_by_name.get(name)
        if rule is None:
            reason = f"the service {name!r} does not exist"
            return Error(self._refuse(Step.PARSE, 404, "service_not_found", reason))
        if not _is_allowed(rule.callers, arrival.caller):
            reason = f"the service {name!r} is not for {arrival.caller.name}"
            return Error(self._refuse(Step.AUTHENTICATE, 403, "forbidden", reason))
        deadline = self._read_deadline(arrival, rule.deadline_s)
        if deadline.is_error():
            return deadline
        key = arrival.headers.get(_KEY_HEADER, "")
        if len(key) > _MOST_KEY_CHARACTERS:
            reason = f"the key is over {_MOST_KEY_CHARACTERS} characters"
            return Error(self._refuse(Step.PARSE, 400, "invalid_request", reason, _KEY_HEADER))
        idempotent = arrival.method in rule.idempotent_methods
        request = Request(
            uuid4().hex,
            arrival.caller.name,
            rule.service_class,
            rule.name,
            "",
            arrival.arrived_s,
            deadline.ok,
            idempotent,
            "" if idempotent else key,
            body_bytes=len(arrival.body),
        )
        target = f"/{path}?{arrival.query}" if arrival.query else f"/{path}"
        content_type = arrival.headers.get("content-type", "")
        return Ok(
            Call(
                request,
                True,
                arrival.method,
                target,
                content_type,
                arrival.body,
                False,
                arrival.caller.weight,
            )
        )

    def _read_deadline(self, arrival: _Arrival, default_s: float) -> Result[float, Rejection]:
        text = arrival.headers.get(_DEADLINE_HEADER)
        if text is None:
            return Ok(arrival.arrived_s + default_s)
        if not text.isdecimal() or not 0 < int(text) <= _MOST_DEADLINE_S * 1000:
            reason = f"{_DEADLINE_HEADER}: give whole milliseconds above zero"
            return Error(self._refuse(Step.PARSE, 400, "invalid_request", reason, _DEADLINE_HEADER))
        return Ok(arrival.arrived_s + int(text) / 1000)


async def _cancel_on_disconnect(receive: Receive, scope: object) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue
    scope.cancel()


def _is_allowed(callers: tuple[str, ...], caller: CallerRule) -> bool:
    return ANY_CALLER in callers or caller.name in callers


def _replace_model(body: bytes, model: str) -> bytes:
    fields = json.loads(body)
    fields["model"] = model
    return json.dumps(fields).encode()

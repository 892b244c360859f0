"""
kingcupdyke_daemon.gateway.admin
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The HTTP interface for operators: status, explanation of routing decisions, and drain.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple
from urllib.parse import parse_qs

from kingcupdyke.drain import DrainMachine
from kingcupdyke.request import Request
from kingcupdyke.routing import Router
from kingcupdyke.rule import RuleSet
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.gateway.admission import AdmissionController
from kingcupdyke_daemon.gateway.directory import EndpointDirectory
from kingcupdyke_daemon.gateway.planner import RegionPlanner
from kingcupdyke_daemon.gateway.reply import Send, send_json
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.operator import is_operator

__all__ = ["AdminApp", "AdminDependencies"]


class AdminDependencies(NamedTuple):
    """Objects and callbacks that the operators' interface uses."""

    host: str
    region: str
    data_centre: str
    incarnation: str
    operator_digest: str
    directory: EndpointDirectory
    admission: AdmissionController
    router: Router
    planner: RegionPlanner | None
    drain: DrainMachine
    metrics: DaemonMetrics
    timer: TimerService
    get_rules: Callable[[], RuleSet]
    get_version: Callable[[], int]
    begin_stop: Callable[[], None]


class AdminApp:
    """``/admin/status``, ``/admin/explain`` and ``/admin/drain``.

    :param deps: the objects and callbacks that it uses
    """

    def __init__(self, deps: AdminDependencies) -> None:
        self._deps = deps

    async def __call__(self, scope: dict, receive: object, send: Send) -> None:
        if not self._is_operator(scope):
            await send_json(send, {"error": "an operator's token is needed"}, 401)
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        route = (scope["method"], scope["path"])
        if route == ("GET", "/admin/status"):
            await send_json(send, self._make_status())
        elif route == ("GET", "/admin/explain"):
            await self._explain(query, send)
        elif route == ("POST", "/admin/drain"):
            self._deps.begin_stop()
            await send_json(send, {"in_flight": self._deps.drain.in_flight})
        else:
            await send_json(send, {"error": f"no such path: {scope['path']}"}, 404)

    def _is_operator(self, scope: dict) -> bool:
        headers = dict(scope["headers"])
        token = headers.get(b"authorization", b"").partition(b" ")[2].strip()
        return is_operator(self._deps.operator_digest, token)

    def _make_status(self) -> dict:
        deps = self._deps
        return {
            "host": deps.host,
            "region": deps.region,
            "data_centre": deps.data_centre,
            "incarnation": deps.incarnation,
            "config_version": deps.get_version(),
            "leaving": deps.drain.state.value != "running",
            "in_flight": deps.drain.in_flight,
            "queues": {
                name: {"running": queue.running, "waiting": queue.waiting}
                for name, queue in deps.admission.queues_by_target.items()
            },
            "planner_fence": deps.planner.fence if deps.planner else None,
            "counts": deps.metrics.counts_by_event,
            "endpoints": {
                name: self._describe_endpoint(name) for name in sorted(deps.directory.links_by_host)
            },
        }

    def _describe_endpoint(self, name: str) -> dict:
        link = self._deps.directory.links_by_host[name]
        heartbeat = link.last_heartbeat
        if heartbeat is None:
            return {"peer": link.peer, "answers": False}
        return {
            "peer": link.peer,
            "answers": True,
            "leaving": not self._deps.directory.is_usable(link),
            "running": heartbeat.load.running,
            "waiting": heartbeat.load.waiting,
            "models": list(link.holdings.models),
            "adapters": list(link.holdings.adapters),
            "services": list(link.holdings.services),
            "config_version": heartbeat.config_version,
        }

    async def _explain(self, query: dict[str, list[str]], send: Send) -> None:
        name = query.get("model", [""])[0]
        caller = query.get("caller", [""])[0]
        rules = self._deps.get_rules()
        adapter = rules.adapters_by_name.get(name)
        model = rules.models_by_name.get(adapter.model if adapter else name)
        if model is None:
            await send_json(send, {"error": f"no rule names the model {name!r}"}, 404)
            return
        now_s = self._deps.timer.now()
        request = Request(
            "explain",
            caller,
            model.service_class,
            model.name,
            name if adapter else "",
            now_s,
            now_s + model.deadline_s,
            True,
        )
        links = self._deps.directory.links_for(model.name, False)
        views = self._deps.directory.views(request, links, now_s)
        choice = self._deps.router.choose(request, views, now_s, Random(0))
        if choice.is_ok() and choice.ok.crosses_regions:
            self._deps.router.refund(request)
        answer = {
            "model": model.name,
            "adapter": request.adapter,
            "candidates": [view._asdict() for view in views],
            "choice": choice.ok._asdict() if choice.is_ok() else None,
            "reason": "" if choice.is_ok() else choice.error.reason,
        }
        await send_json(send, answer)

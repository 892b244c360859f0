"""
kingcupdyke_daemon.gateway.admin
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What operators reach over HTTP: status, explanations and a planned stop.
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
from kingcupdyke_daemon.gateway.directory import EndpointDirectory
from kingcupdyke_daemon.gateway.limits import AdmissionController
from kingcupdyke_daemon.gateway.planner import RegionPlanner
from kingcupdyke_daemon.gateway.reply import Send, send_json
from kingcupdyke_daemon.metrics import DaemonMetrics
from kingcupdyke_daemon.operator import is_operator

__all__ = ["AdminApp", "AdminDependencies"]


class AdminDependencies(NamedTuple):
    """What operators may see and do."""

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

    :param parts: what operators may see and do
    """

    def __init__(self, parts: AdminDependencies) -> None:
        self._parts = parts

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
            self._parts.begin_stop()
            await send_json(send, {"in_flight": self._parts.drain.in_flight})
        else:
            await send_json(send, {"error": f"no such path: {scope['path']}"}, 404)

    def _is_operator(self, scope: dict) -> bool:
        headers = dict(scope["headers"])
        token = headers.get(b"authorization", b"").partition(b" ")[2].strip()
        return is_operator(self._parts.operator_digest, token)

    def _make_status(self) -> dict:
        parts = self._parts
        return {
            "host": parts.host,
            "region": parts.region,
            "data_centre": parts.data_centre,
            "incarnation": parts.incarnation,
            "config_version": parts.get_version(),
            "leaving": parts.drain.state.value != "running",
            "in_flight": parts.drain.in_flight,
            "queues": {
                name: {"running": queue.running, "waiting": queue.waiting}
                for name, queue in parts.admission.queues_by_target.items()
            },
            "planner_fence": parts.planner.fence if parts.planner else None,
            "counts": parts.metrics.counts_by_event,
            "endpoints": {
                name: self._describe(name) for name in sorted(parts.directory.links_by_host)
            },
        }

    def _describe(self, name: str) -> dict:
        link = self._parts.directory.links_by_host[name]
        beat = link.last_beat
        if beat is None:
            return {"peer": link.peer, "answers": False}
        return {
            "peer": link.peer,
            "answers": True,
            "leaving": not self._parts.directory.is_usable(link),
            "running": beat.load.running,
            "waiting": beat.load.waiting,
            "models": list(link.holdings.models),
            "adapters": list(link.holdings.adapters),
            "services": list(link.holdings.services),
            "config_version": beat.config_version,
        }

    async def _explain(self, query: dict[str, list[str]], send: Send) -> None:
        name = query.get("model", [""])[0]
        caller = query.get("caller", [""])[0]
        rules = self._parts.get_rules()
        adapter = rules.adapters_by_name.get(name)
        model = rules.models_by_name.get(adapter.model if adapter else name)
        if model is None:
            await send_json(send, {"error": f"no rule names the model {name!r}"}, 404)
            return
        now_s = self._parts.timer.now()
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
        links = self._parts.directory.links_for(model.name, False)
        views = self._parts.directory.views(request, links, now_s)
        chosen = self._parts.router.choose(request, views, now_s, Random(0))
        if chosen.is_ok() and chosen.ok.crosses_regions:
            self._parts.router.refund(request)
        answer = {
            "model": model.name,
            "adapter": request.adapter,
            "candidates": [view._asdict() for view in views],
            "choice": chosen.ok._asdict() if chosen.is_ok() else None,
            "reason": "" if chosen.is_ok() else chosen.error.reason,
        }
        await send_json(send, answer)

"""
kingcupdyke_daemon.gateway.directory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The sidecars known to a gateway, with their load and cached prefixes.
"""

import logging
from collections.abc import Iterable

from anyio import CancelScope
from anyio.abc import TaskGroup

from kingcupdyke.cache import PrefixIndex
from kingcupdyke.host import Host
from kingcupdyke.membership import MembershipTable
from kingcupdyke.report import LoadTracker
from kingcupdyke.request import Request
from kingcupdyke.routing import EndpointView
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.gateway.link import SidecarLink
from kingcupdyke_daemon.gateway.streamwatch import StreamWatch
from kingcupdyke_daemon.settings import HostSettings
from kingcupdyke_wire.sidecar_pb2 import BeatReply

__all__ = ["EndpointDirectory"]

_LOGGER = logging.getLogger(__name__)
#: Maximum number of prefix blocks in the index, over all endpoints.
_MAX_PREFIX_BLOCKS = 200_000
#: Time that a host stays unresponsive before its models are considered lost.
_GONE_TIMEOUT_S = 10.0
#: Checks of the waiting streams within ``silence_s``, after which a stream is stalled.
_CHECKS_PER_TIMEOUT = 8


class EndpointDirectory:
    """Links to the sidecars of the membership table.

    :param settings: settings of this host
    :param membership: the known hosts, and which of them are draining
    :param tasks: the task group that runs the links
    :param timer: the timer service
    """

    def __init__(
        self,
        settings: HostSettings,
        membership: MembershipTable,
        tasks: TaskGroup,
        timer: TimerService,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._tasks = tasks
        self._timer = timer
        self._stream_watch = StreamWatch(settings.silence_s)
        timer.subscribe(
            "streams", settings.silence_s / _CHECKS_PER_TIMEOUT, self._stream_watch.check_stalled
        )
        self._scopes_by_host: dict[str, CancelScope] = {}
        self._unresponsive_since_by_host: dict[str, float] = {}
        #: Links by host, for each model or service that the endpoint holds.
        self._links_by_model: dict[str, dict[str, SidecarLink]] = {}
        self._links_by_service: dict[str, dict[str, SidecarLink]] = {}
        self.links_by_host: dict[str, SidecarLink] = {}
        self.prefixes = PrefixIndex(_MAX_PREFIX_BLOCKS)
        self.loads = LoadTracker()
        #: Version of the configuration in force, sent with each heartbeat.
        self.config_version = 0

    def refresh(self) -> None:
        """Open links to new sidecars and close those of sidecars that are no longer listed."""
        hosts_by_name = {each.host: each for each in self._membership.known("sidecar")}
        for name, host in hosts_by_name.items():
            link = self.links_by_host.get(name)
            if link is not None and (link.host.address, link.host.port) != (
                host.address,
                host.port,
            ):
                self._close_link(name)
            if name not in self.links_by_host:
                self._open_link(host)
        for name in set(self.links_by_host) - set(hosts_by_name):
            self._close_link(name)

    def close(self) -> None:
        """Close all links."""
        for name in list(self.links_by_host):
            self._close_link(name)

    def is_leaving(self, name: str) -> bool:
        """:return: whether a host is known to be draining"""
        return self._membership.is_leaving(name)

    def is_gone(self, name: str, now_s: float) -> bool:
        """:return: whether a host is not listed, or was unresponsive for ``_GONE_TIMEOUT_S``"""
        link = self.links_by_host.get(name)
        if link is None:
            return True
        unresponsive_since_s = self._unresponsive_since_by_host.get(name)
        return unresponsive_since_s is not None and now_s - unresponsive_since_s >= _GONE_TIMEOUT_S

    def is_usable(self, link: SidecarLink) -> bool:
        """:return: whether a sidecar is responsive and accepts requests"""
        return link.usable and not self.is_leaving(link.host.host)

    def cancel_attempt(self, link: SidecarLink, attempt_id: str) -> None:
        """Cancel an attempt at a sidecar, in the background."""
        self._tasks.start_soon(link.cancel, attempt_id)

    def links_for(self, target: str, service: bool) -> list[SidecarLink]:
        """:return: links to the sidecars that hold a model or service and accept requests"""
        links_by_key = self._links_by_service if service else self._links_by_model
        return [link for link in links_by_key.get(target, {}).values() if self.is_usable(link)]

    def views(
        self, request: Request, links: Iterable[SidecarLink], now_s: float
    ) -> list[EndpointView]:
        """:return: the state of each candidate endpoint, for the router"""
        return [self._make_view(request, link, now_s) for link in links]

    def _make_view(self, request: Request, link: SidecarLink, now_s: float) -> EndpointView:
        host = link.host
        load = self.loads.estimate_load(host.host, now_s)
        return EndpointView(
            host.host,
            host.region,
            host.data_centre,
            load.running,
            load.waiting,
            load.report_age_s,
            load.dispatched_since,
            load.token_interval_s,
            not request.adapter or request.adapter in link.holdings.adapters,
            self.prefixes.cached_blocks(host.host, request.prefixes),
        )

    def _open_link(self, host: Host) -> None:
        settings = self._settings
        link = SidecarLink(
            host,
            settings.host,
            settings.beat_s,
            settings.silence_s,
            self.handle_heartbeat,
            self._mark_unresponsive,
            self._stream_watch,
        )
        scope = CancelScope()
        self.links_by_host[host.host] = link
        self._scopes_by_host[host.host] = scope
        self._tasks.start_soon(self._run_link, link, scope)
        _LOGGER.info("link opened: step=connect peer=%s host=%s", link.peer, host.host)

    def _index_link(self, link: SidecarLink) -> None:
        """Update the indexes by model and service with what an endpoint holds."""
        self._unindex_link(link)
        for index, names in (
            (self._links_by_model, link.holdings.models),
            (self._links_by_service, link.holdings.services),
        ):
            for name in names:
                index.setdefault(name, {})[link.host.host] = link

    def _unindex_link(self, link: SidecarLink) -> None:
        for index in (self._links_by_model, self._links_by_service):
            for links_by_host in index.values():
                if links_by_host.get(link.host.host) is link:
                    del links_by_host[link.host.host]

    async def _run_link(self, link: SidecarLink, scope: CancelScope) -> None:
        with scope:
            try:
                await link.send_heartbeats_forever()
            finally:
                link.close()

    def _close_link(self, name: str) -> None:
        link = self.links_by_host.pop(name)
        self._unindex_link(link)
        self._scopes_by_host.pop(name).cancel()
        self.prefixes.forget(name)
        self.loads.forget(name)
        _LOGGER.info("link closed: step=connect peer=%s host=%s", link.peer, name)

    def handle_heartbeat(self, link: SidecarLink, heartbeat: BeatReply) -> None:
        """Process an answered heartbeat of a link."""
        now_s = self._timer.now()
        name = link.host.host
        self._unresponsive_since_by_host.pop(name, None)
        self.record_load(
            name, heartbeat.load.running, heartbeat.load.waiting, heartbeat.load.token_interval_ms
        )
        self._membership.record_answer(
            name, heartbeat.load.incarnation, now_s, heartbeat.load.leaving
        )
        link.config_version = self.config_version
        if heartbeat.HasField("holdings"):
            self._index_link(link)
        for event in heartbeat.cache_events:
            self.prefixes.apply_event(
                name, heartbeat.cache_incarnation, event.sequence, event.stored, event.prefix
            )

    def record_load(self, name: str, running: int, waiting: int, interval_ms: float) -> None:
        """Record the load that a heartbeat or a reply reports."""
        self.loads.record_report(name, running, waiting, interval_ms / 1000, self._timer.now())

    def _mark_unresponsive(self, link: SidecarLink) -> None:
        self._unresponsive_since_by_host.setdefault(link.host.host, self._timer.now())
        self._membership.record_missing_answer(link.host.host, self._timer.now())
        _LOGGER.warning("peer silent: step=connect peer=%s host=%s", link.peer, link.host.host)

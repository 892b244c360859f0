"""
kingcupdyke_daemon.gateway.directory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The sidecars that a gateway knows, and what it thinks of each.
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
from kingcupdyke_daemon.gateway.watch import StreamWatch
from kingcupdyke_daemon.settings import HostSettings
from kingcupdyke_wire.sidecar_pb2 import BeatReply

__all__ = ["EndpointDirectory"]

_LOGGER = logging.getLogger(__name__)
#: Prefix blocks that are remembered over all endpoints.
_MOST_PREFIXES = 200_000
#: Seconds of silence after which a host's memory counts as lost.
_GONE_S = 10.0
#: Looks at the waiting streams within the time after which one counts as silent.
_LOOKS_A_SILENCE = 8


class EndpointDirectory:
    """Links to the sidecars of the membership table.

    :param settings: settings of this host
    :param membership: who exists and who is leaving
    :param tasks: the task group that carries the links
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
        self._watch = StreamWatch(settings.silence_s)
        timer.subscribe("streams", settings.silence_s / _LOOKS_A_SILENCE, self._watch.look)
        self._scopes_by_host: dict[str, CancelScope] = {}
        self._silent_since_by_host: dict[str, float] = {}
        #: Links by host, by the model or service that the endpoint holds.
        self._links_by_model: dict[str, dict[str, SidecarLink]] = {}
        self._links_by_service: dict[str, dict[str, SidecarLink]] = {}
        self.links_by_host: dict[str, SidecarLink] = {}
        self.prefixes = PrefixIndex(_MOST_PREFIXES)
        self.loads = LoadTracker()
        #: Version of the configuration in force here, told with each heartbeat.
        self.config_version = 0

    def refresh(self) -> None:
        """Open links to new sidecars and close those of sidecars that are gone."""
        hosts_by_name = {each.host: each for each in self._membership.known("sidecar")}
        for name, host in hosts_by_name.items():
            link = self.links_by_host.get(name)
            if link is not None and (link.host.address, link.host.port) != (
                host.address,
                host.port,
            ):
                self._close(name)
            if name not in self.links_by_host:
                self._open(host)
        for name in set(self.links_by_host) - set(hosts_by_name):
            self._close(name)

    def close(self) -> None:
        """Close all links."""
        for name in list(self.links_by_host):
            self._close(name)

    def is_leaving(self, name: str) -> bool:
        """:return: whether a host is known to leave"""
        return self._membership.is_leaving(name)

    def is_gone(self, name: str, now_s: float) -> bool:
        """:return: whether a host is not listed any more, or has been silent for long"""
        link = self.links_by_host.get(name)
        if link is None:
            return True
        silent_s = self._silent_since_by_host.get(name)
        return silent_s is not None and now_s - silent_s >= _GONE_S

    def is_usable(self, link: SidecarLink) -> bool:
        """:return: whether a sidecar answers and takes new work"""
        return link.usable and not self.is_leaving(link.host.host)

    def cancel_attempt(self, link: SidecarLink, attempt_id: str) -> None:
        """Tell a sidecar, in the background, that nobody waits for an attempt."""
        self._tasks.start_soon(link.cancel, attempt_id)

    def links_for(self, target: str, service: bool) -> list[SidecarLink]:
        """:return: links to the sidecars that hold a model or service and take work"""
        held = self._links_by_service if service else self._links_by_model
        return [link for link in held.get(target, {}).values() if self.is_usable(link)]

    def views(
        self, request: Request, links: Iterable[SidecarLink], now_s: float
    ) -> list[EndpointView]:
        """:return: what is known of each candidate, for the router"""
        return [self._view(request, link, now_s) for link in links]

    def _view(self, request: Request, link: SidecarLink, now_s: float) -> EndpointView:
        host = link.host
        load = self.loads.parts(host.host, now_s)
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

    def _open(self, host: Host) -> None:
        settings = self._settings
        link = SidecarLink(
            host,
            settings.host,
            settings.beat_s,
            settings.silence_s,
            self.hear_beat,
            self._went_silent,
            self._watch,
        )
        scope = CancelScope()
        self.links_by_host[host.host] = link
        self._scopes_by_host[host.host] = scope
        self._tasks.start_soon(self._carry, link, scope)
        _LOGGER.info("link opened: step=connect peer=%s host=%s", link.peer, host.host)

    def _index(self, link: SidecarLink) -> None:
        """Note what an endpoint holds now."""
        self._drop_index(link)
        for index, names in (
            (self._links_by_model, link.holdings.models),
            (self._links_by_service, link.holdings.services),
        ):
            for name in names:
                index.setdefault(name, {})[link.host.host] = link

    def _drop_index(self, link: SidecarLink) -> None:
        for index in (self._links_by_model, self._links_by_service):
            for held in index.values():
                if held.get(link.host.host) is link:
                    del held[link.host.host]

    async def _carry(self, link: SidecarLink, scope: CancelScope) -> None:
        with scope:
            try:
                await link.beat_forever()
            finally:
                link.close()

    def _close(self, name: str) -> None:
        link = self.links_by_host.pop(name)
        self._drop_index(link)
        self._scopes_by_host.pop(name).cancel()
        self.prefixes.forget(name)
        self.loads.forget(name)
        _LOGGER.info("link closed: step=connect peer=%s host=%s", link.peer, name)

    def hear_beat(self, link: SidecarLink, beat: BeatReply) -> None:
        """Take an answered heartbeat of a link."""
        now_s = self._timer.now()
        name = link.host.host
        self._silent_since_by_host.pop(name, None)
        self.hear_load(name, beat.load.running, beat.load.waiting, beat.load.token_interval_ms)
        self._membership.hear_answer(name, beat.load.incarnation, now_s, beat.load.leaving)
        link.config_version = self.config_version
        if beat.HasField("holdings"):
            self._index(link)
        for event in beat.cache_events:
            self.prefixes.hear(
                name, beat.cache_incarnation, event.sequence, event.stored, event.prefix
            )

    def hear_load(self, name: str, running: int, waiting: int, interval_ms: float) -> None:
        """Take a load report of a heartbeat or a reply."""
        self.loads.heard(name, running, waiting, interval_ms / 1000, self._timer.now())

    def _went_silent(self, link: SidecarLink) -> None:
        self._silent_since_by_host.setdefault(link.host.host, self._timer.now())
        self._membership.hear_silence(link.host.host, self._timer.now())
        _LOGGER.warning("peer silent: step=connect peer=%s host=%s", link.peer, link.host.host)

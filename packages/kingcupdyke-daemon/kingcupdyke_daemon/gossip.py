"""
kingcupdyke_daemon.gossip
~~~~~~~~~~~~~~~~~~~~~~~~~

Distribution of configuration and membership updates from the store and among peers.
"""

import logging
from collections.abc import Callable, Iterable
from random import Random

from anyio import fail_after, sleep
from anyio.abc import TaskGroup
from grpclib.client import Channel
from grpclib.server import Stream

from kingcupdyke.config import ConfigReplica
from kingcupdyke.drain import DrainMachine
from kingcupdyke.host import Host
from kingcupdyke.membership import (
    LeaveNotice,
    MembershipTable,
    choose_push_targets,
    choose_watchers,
    pick_peers,
)
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.settings import HostSettings
from kingcupdyke_wire.calls import log_call_errors
from kingcupdyke_wire.channel import HostChannel
from kingcupdyke_wire.configlog import read_config, read_log, watch_changes
from kingcupdyke_wire.convert import apply_update, make_update, read_leaving
from kingcupdyke_wire.hostlist import HostListClient
from kingcupdyke_wire.peer_grpc import PeerBase, PeerStub
from kingcupdyke_wire.peer_pb2 import Demand, News, NewsReply, PullRequest
from kingcupdyke_wire.store import StoreClient

__all__ = ["GossipService", "PeerService"]

_LOGGER = logging.getLogger(__name__)
_PEER_TIMEOUT_S = 1.0
#: Number of peers that are pulled from per round while there is no configuration.
_START_PEERS = 5
#: Maximum number of open connections to peers.
_MAX_CHANNELS = 32
_START_RETRY_INTERVAL_S = 0.3
_ANNOUNCE_RETRY_INTERVAL_S = 0.05
#: Seconds after which a watcher reads the log again, in case its watch has stalled.
_RELIST_INTERVAL_S = 4.0
_RETRY_INTERVAL_S = 0.5
#: Number of hosts that watch the store in each data centre.
_WATCHERS_PER_DATA_CENTRE = 3


class GossipService:
    """Keeps the configuration and membership of this process and its peers up to date.

    :param settings: settings of this host
    :param incarnation: this start of the process; later starts sort after earlier ones
    :param store: the platform's store
    :param hosts: the platform's host list
    :param tasks: the task group that runs pushes
    :param timer: the timer service
    :param rng: random number generator
    """

    def __init__(
        self,
        settings: HostSettings,
        incarnation: str,
        store: StoreClient,
        hosts: HostListClient,
        tasks: TaskGroup,
        timer: TimerService,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._store = store
        self._hosts = hosts
        self._tasks = tasks
        self._timer = timer
        self._rng = rng
        self._channels_by_host: dict[str, tuple[Host, Channel]] = {}
        self._sequence = 0
        self.replica = ConfigReplica()
        self.membership = MembershipTable(settings.silence_s)
        #: Called after each read of the host list.
        self.on_host_list: Callable[[], None] = lambda: None
        #: Called with demand that peers report.
        self.on_demand: Callable[[Iterable[Demand]], None] = lambda _: None

    async def run(self) -> None:
        """Read the host list, load the configuration, then keep both up to date."""
        await self._read_hosts()
        self._tasks.start_soon(self._read_hosts_forever)
        await self._load_configuration()
        self._tasks.start_soon(self._watch_forever)
        self._tasks.start_soon(self._pull_forever)

    def accept(self, update: News) -> None:
        """Accept an update of a peer, and push it to other peers if it was new."""
        accepted = apply_update(self.replica, update)
        now_s = self._timer.now()
        new_notices = [
            each
            for each in map(read_leaving, update.leaving)
            if each.host != self._settings.host and self.membership.record_notice(*each, now_s)
        ]
        if update.demand:
            self.on_demand(update.demand)
        if accepted:
            self._log_version("peer")
        if accepted or new_notices:
            self._push(new_notices)

    def make_reply(self, version: int) -> News:
        """:return: the update for a peer that has configuration ``version``"""
        return make_update(self.replica, version, self.membership.recent_notices())

    async def announce_leaving(self, drain: DrainMachine) -> None:
        """Announce that this host is draining, until a peer has accepted the notice.

        :param drain: the planned stop, which is notified then
        """
        while not await self._announce_leaving_once():
            await sleep(_ANNOUNCE_RETRY_INTERVAL_S)
        drain.told(self._timer.now())

    async def _announce_leaving_once(self) -> bool:
        """:return: whether a peer has accepted the notice"""
        self._sequence += 1
        notice = LeaveNotice(self._settings.host, self._incarnation, self._sequence, True)
        self.membership.record_notice(*notice, self._timer.now())
        update = make_update(self.replica, self.replica.version, [notice])
        is_accepted = False
        for name in self._choose_targets():
            is_accepted = await self.send(name, update) is not None or is_accepted
        return is_accepted

    async def send(self, name: str, update: News) -> NewsReply | None:
        """Push an update to one peer.

        :return: its reply, or None if it did not answer
        """
        channel = self._get_channel(name)
        if channel is None:
            return None
        with log_call_errors(_LOGGER, f"Push to {name}"), fail_after(_PEER_TIMEOUT_S):
            return await PeerStub(channel).Push(update)
        self._drop_channel(name)
        return None

    def peers(self, data_centre: str | None = None) -> list[str]:
        """:return: names of live hosts, this one among them"""
        return [
            each.host
            for each in self.membership.routable()
            if data_centre in (None, each.data_centre)
        ]

    def close(self) -> None:
        """Close the connections to peers."""
        for _, channel in self._channels_by_host.values():
            channel.close()

    def _choose_targets(self) -> list[str]:
        """:return: peers in the local data centre, and one in each other data centre"""
        local = self._settings.data_centre
        hosts_by_data_centre: dict[str, list[str]] = {}
        for host in self.membership.routable():
            hosts_by_data_centre.setdefault(host.data_centre, []).append(host.host)
        targets = choose_push_targets(
            hosts_by_data_centre.get(local, []) + [self._settings.host],
            self._settings.host,
            local,
            self.replica.version,
        )
        targets += pick_peers(
            hosts_by_data_centre.get(local, []), self._settings.host, 2, self._rng
        )
        for name, hosts in hosts_by_data_centre.items():
            if name != local:
                targets += pick_peers(hosts, self._settings.host, 1, self._rng)
        return list(dict.fromkeys(targets))

    def _push(self, leaving: Iterable[LeaveNotice] = ()) -> None:
        update = make_update(self.replica, max(0, self.replica.version - 1), leaving)
        for name in self._choose_targets():
            self._tasks.start_soon(self.send, name, update)

    def _get_channel(self, name: str) -> Channel | None:
        host = self.membership.find(name)
        if host is None:
            return None
        existing = self._channels_by_host.get(name)
        if (
            existing is not None
            and existing[0].address == host.address
            and existing[0].port == host.port
        ):
            return existing[1]
        self._drop_channel(name)
        channel = HostChannel(host.address, host.peer_port or host.port)
        self._channels_by_host[name] = (host, channel)
        if len(self._channels_by_host) > _MAX_CHANNELS:
            self._drop_channel(next(iter(self._channels_by_host)))
        return channel

    def _drop_channel(self, name: str) -> None:
        existing = self._channels_by_host.pop(name, None)
        if existing is not None:
            existing[1].close()

    def _log_version(self, source: str) -> None:
        version = self.replica.version
        _LOGGER.info("configuration in force: step=configure from=%s version=%d", source, version)

    async def _read_hosts(self) -> None:
        read = await self._hosts.hosts()
        if read.is_ok():
            self.membership.update_list(read.ok, self._timer.now())
            self.on_host_list()

    async def _read_hosts_forever(self) -> None:
        while True:
            await sleep(self._settings.list_s)
            await self._read_hosts()

    async def _load_configuration(self) -> None:
        """Get the store's configuration, or the latest of some peers if it is unavailable."""
        while True:
            read = await read_config(self._store)
            if read.is_ok():
                self.replica.accept_snapshot(*read.ok)
                self._log_version("store")
                return
            for name in pick_peers(self.peers(), self._settings.host, _START_PEERS, self._rng):
                await self._pull(name)
            if self.replica.version:
                return
            await sleep(_START_RETRY_INTERVAL_S)

    async def _pull_forever(self) -> None:
        while True:
            is_behind = self.replica.needs_pull
            await sleep(self._settings.pull_s * (0.1 if is_behind else 0.5 + self._rng.random()))
            for name in pick_peers(self.peers(), self._settings.host, 1, self._rng):
                await self._pull(name)

    async def _pull(self, name: str) -> None:
        channel = self._get_channel(name)
        if channel is None:
            return
        with log_call_errors(_LOGGER, f"Pull from {name}"), fail_after(_PEER_TIMEOUT_S):
            update = await PeerStub(channel).Pull(PullRequest(version=self.replica.version))
            self.accept(update)
            return
        self._drop_channel(name)

    def _is_watcher(self) -> bool:
        data_centre = self._settings.data_centre
        hosts = {*self.peers(data_centre), self._settings.host}
        return self._settings.host in choose_watchers(hosts, data_centre, _WATCHERS_PER_DATA_CENTRE)

    async def _watch_forever(self) -> None:
        while True:
            if not self._is_watcher() or not await self._watch_log():
                await sleep(_RETRY_INTERVAL_S)

    async def _watch_log(self) -> bool:
        """Read the log, then watch it for ``_RELIST_INTERVAL_S``.

        :return: False if the store did not answer
        """
        page = await read_log(self._store, self.replica.version)
        if page.is_error():
            return False
        self._apply_changes(page.ok.changes)
        position = page.ok.position
        end_s = self._timer.now() + _RELIST_INTERVAL_S
        while (remaining_s := end_s - self._timer.now()) > 0:
            watched = await watch_changes(self._store, position, remaining_s)
            if watched.is_error():
                return False
            position, changes = watched.ok
            self._apply_changes(changes)
        return True

    def _apply_changes(self, changes: Iterable[object]) -> None:
        accepted = [self.replica.accept_change(change) for change in changes]
        if any(accepted):
            self._log_version("store")
            self._push()


class PeerService(PeerBase):
    """The gRPC service for peers.

    :param gossip: the gossip service of this process
    """

    def __init__(self, gossip: GossipService) -> None:
        self._gossip = gossip

    async def Push(self, stream: Stream[News, NewsReply]) -> None:  # noqa: N802
        update = await stream.recv_message()
        if update is not None:
            self._gossip.accept(update)
            await stream.send_message(NewsReply(version=self._gossip.replica.version))

    async def Pull(self, stream: Stream[PullRequest, News]) -> None:  # noqa: N802
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._gossip.make_reply(request.version))

"""
kingcupdyke_wire.announce
~~~~~~~~~~~~~~~~~~~~~~~~~

Sends an accepted configuration change directly to daemons, without the store.
"""

import logging
from collections.abc import Iterable
from random import Random

from anyio import create_task_group, fail_after

from kingcupdyke.config import ConfigChange
from kingcupdyke.host import Host
from kingcupdyke_wire.calls import log_call_errors
from kingcupdyke_wire.channel import HostChannel
from kingcupdyke_wire.convert import write_change
from kingcupdyke_wire.peer_grpc import PeerStub
from kingcupdyke_wire.peer_pb2 import News

__all__ = ["announce_change"]

_LOGGER = logging.getLogger(__name__)

#: Daemons that receive the change in each data centre; they forward it to the others.
_HOSTS_PER_DATA_CENTRE = 2
#: Timeout of one push in seconds.
_PUSH_TIMEOUT_S = 1.0


async def announce_change(hosts: Iterable[Host], change: ConfigChange, rng: Random) -> int:
    """Push a change to a few daemons in each data centre.

    The store may become unavailable after it has accepted the change and before any watcher has
    read it.

    :param hosts: entries of the platform's host list
    :param change: the accepted change
    :param rng: random number generator that selects the daemons
    :return: the number of daemons that acknowledged the change
    """
    hosts_by_data_centre: dict[str, list[Host]] = {}
    for host in hosts:
        hosts_by_data_centre.setdefault(host.data_centre, []).append(host)
    notified_hosts: list[str] = []
    news = News(version=change.version, changes=[write_change(change)])
    async with create_task_group() as tasks:
        for candidates in hosts_by_data_centre.values():
            for host in rng.sample(candidates, min(_HOSTS_PER_DATA_CENTRE, len(candidates))):
                tasks.start_soon(_push, host, news, notified_hosts)
    return len(notified_hosts)


async def _push(host: Host, news: News, notified_hosts: list[str]) -> None:
    channel = HostChannel(host.address, host.peer_port or host.port)
    try:
        with log_call_errors(_LOGGER, f"Push to {host.host}"), fail_after(_PUSH_TIMEOUT_S):
            await PeerStub(channel).Push(news)
            notified_hosts.append(host.host)
    finally:
        channel.close()

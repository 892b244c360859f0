"""
kingcupdyke_wire.announce
~~~~~~~~~~~~~~~~~~~~~~~~~

Telling daemons of a change that was just accepted, without the store's help.
"""

from collections.abc import Iterable
from contextlib import suppress
from random import Random

from anyio import create_task_group, fail_after
from grpclib.client import Channel

from kingcupdyke.config import ConfigChange
from kingcupdyke.host import Host
from kingcupdyke_wire.calls import CALL_ERRORS, contain_call
from kingcupdyke_wire.convert import write_change
from kingcupdyke_wire.peer_grpc import PeerStub
from kingcupdyke_wire.peer_pb2 import News

__all__ = ["announce_change"]

#: Daemons that are told in each data centre; they pass the news on.
_HOSTS_A_DATA_CENTRE = 2
_PUSH_TIMEOUT_S = 1.0


async def announce_change(hosts: Iterable[Host], change: ConfigChange, rng: Random) -> int:
    """Push a change to a few daemons in each data centre.

    The store may go away right after it accepted, before any watcher has read the change.

    :param hosts: the platform's list
    :param change: the accepted change
    :param rng: source of chance
    :return: the number of daemons that took the news
    """
    hosts_by_data_centre: dict[str, list[Host]] = {}
    for host in hosts:
        hosts_by_data_centre.setdefault(host.data_centre, []).append(host)
    told: list[str] = []
    news = News(version=change.version, changes=[write_change(change)])
    async with create_task_group() as tasks:
        for group in hosts_by_data_centre.values():
            for host in rng.sample(group, min(_HOSTS_A_DATA_CENTRE, len(group))):
                tasks.start_soon(_push, host, news, told)
    return len(told)


async def _push(host: Host, news: News, told: list[str]) -> None:
    channel = Channel(host.address, host.peer_port or host.port)
    try:
        with suppress(*CALL_ERRORS), contain_call(), fail_after(_PUSH_TIMEOUT_S):
            await PeerStub(channel).Push(news)
            told.append(host.host)
    finally:
        channel.close()

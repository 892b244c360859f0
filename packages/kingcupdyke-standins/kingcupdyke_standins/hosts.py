"""
kingcupdyke_standins.hosts
~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of the platform's list of hosts.
"""

from typing import NamedTuple

from anyio import current_time

from kingcupdyke.host import Host
from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp

__all__ = ["HostsApp"]


class _Change(NamedTuple):
    """An entry that was set, or None when it was deleted."""

    made_s: float
    name: str
    entry: Host | None


class HostsApp(StandinApp):
    """Shows entries some time after they were set.

    :param lag_s: seconds until a change shows
    """

    def __init__(self, lag_s: float) -> None:
        super().__init__("hosts")
        self.faults.set({"lag_s": lag_s})
        self._hosts_by_name: dict[str, Host] = {}
        self._changes: list[_Change] = []

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        match request.method, request.path:
            case "GET", ("v1", "hosts"):
                self._show_changes(current_time())
                entries = [host._asdict() for host in self._hosts_by_name.values()]
                return await reply.json(200, {"hosts": entries})
            case "PUT", ("v1", "hosts", name):
                entry = Host(**request.data())
                self._changes.append(_Change(current_time(), name, entry))
                return await reply.whole(200)
            case "DELETE", ("v1", "hosts", name):
                self._changes.append(_Change(current_time(), name, None))
                return await reply.whole(200)
        return await reply.whole(404)

    def _show_changes(self, now_s: float) -> None:
        shown_s = now_s - self.faults.value("lag_s")
        while self._changes and self._changes[0].made_s <= shown_s:
            change = self._changes.pop(0)
            if change.entry is None:
                self._hosts_by_name.pop(change.name, None)
            else:
                self._hosts_by_name[change.name] = change.entry

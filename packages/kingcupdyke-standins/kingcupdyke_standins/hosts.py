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
    """A host that was set, or deleted if its entry is None."""

    changed_s: float
    name: str
    entry: Host | None


class HostsApp(StandinApp):
    """A host list in which changes become visible after a delay.

    :param lag_s: seconds until a change becomes visible
    """

    def __init__(self, lag_s: float) -> None:
        super().__init__("hosts")
        self.faults.set({"lag_s": lag_s})
        self._hosts_by_name: dict[str, Host] = {}
        self._changes: list[_Change] = []

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        match request.method, request.path:
            case "GET", ("v1", "hosts"):
                self._apply_visible_changes(current_time())
                entries = [host._asdict() for host in self._hosts_by_name.values()]
                return await reply.json(200, {"hosts": entries})
            case "PUT", ("v1", "hosts", name):
                entry = Host(**request.data())
                self._changes.append(_Change(current_time(), name, entry))
                return await reply.send_response(200)
            case "DELETE", ("v1", "hosts", name):
                self._changes.append(_Change(current_time(), name, None))
                return await reply.send_response(200)
        return await reply.send_response(404)

    def _apply_visible_changes(self, now_s: float) -> None:
        visible_s = now_s - self.faults.value("lag_s")
        while self._changes and self._changes[0].changed_s <= visible_s:
            change = self._changes.pop(0)
            if change.entry is None:
                self._hosts_by_name.pop(change.name, None)
            else:
                self._hosts_by_name[change.name] = change.entry

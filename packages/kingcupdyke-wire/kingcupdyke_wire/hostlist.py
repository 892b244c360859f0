"""
kingcupdyke_wire.hostlist
~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's list of hosts.
"""

from expression import Result

from kingcupdyke.error import Failure, Step
from kingcupdyke.host import Host
from kingcupdyke_wire.decode import decode
from kingcupdyke_wire.http import HttpClient

__all__ = ["HostListClient"]

#: Timeout of a request in seconds.
TIMEOUT_S = 2.0


class HostListClient:
    """Reads the host list, which may be stale.

    :param base_url: scheme, address and port
    """

    def __init__(self, base_url: str) -> None:
        self._http = HttpClient(base_url, TIMEOUT_S, step=Step.CONFIGURE, reuse=True)

    async def hosts(self) -> Result[list[Host], Failure]:
        """:return: the hosts that are listed now"""
        answer = await self._http.request("GET", "/v1/hosts")
        return answer.bind(lambda each: decode(each, Step.CONFIGURE, self._http.peer, _read_hosts))

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()


def _read_hosts(data: dict) -> list[Host]:
    return [Host(**entry) for entry in data["hosts"]]

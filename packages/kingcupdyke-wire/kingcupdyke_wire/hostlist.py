"""
kingcupdyke_wire.hostlist
~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the platform's list of hosts.
"""

import logging

from expression import Result

from kingcupdyke.error import DECODE_ERRORS, Failure, Step, describe_error
from kingcupdyke.host import Host
from kingcupdyke_wire.answerlimit import HOST_LIST
from kingcupdyke_wire.decode import decode
from kingcupdyke_wire.http import HttpClient

__all__ = ["HostListClient"]

_LOGGER = logging.getLogger(__name__)
#: Timeout of a request in seconds.
TIMEOUT_S = 2.0
MAX_PORT = 65_535


class HostListClient:
    """Reads the host list, which may be stale.

    :param base_url: scheme, address and port
    """

    def __init__(self, base_url: str) -> None:
        self._http = HttpClient(
            base_url, TIMEOUT_S, step=Step.CONFIGURE, reuse=True, limit=HOST_LIST
        )

    async def hosts(self) -> Result[list[Host], Failure]:
        """:return: the hosts that are listed now"""
        answer = await self._http.request("GET", "/v1/hosts")
        return answer.bind(
            lambda each: decode(each, Step.CONFIGURE, self._http.peer, _read_hosts, HOST_LIST)
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()


def _read_hosts(data: dict) -> list[Host]:
    hosts = []
    for entry in data["hosts"]:
        try:
            hosts.append(_read_host(entry))
        except DECODE_ERRORS as error:
            _LOGGER.warning("an entry of the host list can't be used: %s", describe_error(error))
    return hosts


def _read_host(entry: dict) -> Host:
    """:return: a host, without fields that are unknown
    :raises ValueError: when a field has another type or is out of range, or another of
        :data:`DECODE_ERRORS`
    """
    host = Host(**{name: entry[name] for name in Host._fields if name in entry})
    texts = host._replace(port="", peer_port="")
    if not all(isinstance(each, str) for each in texts):
        raise TypeError("a field is no text")
    if type(host.port) is not int or not 0 < host.port <= MAX_PORT:
        raise ValueError("port: not from 1 to 65535")
    if type(host.peer_port) is not int or not 0 <= host.peer_port <= MAX_PORT:
        raise ValueError("peer_port: not from 0 to 65535")
    return host

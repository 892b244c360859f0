"""
kingcupdyke_daemon.sidecar.health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which back ends behind a sidecar take connections.
"""

from collections.abc import Mapping
from urllib.parse import urlsplit

from anyio import connect_tcp, move_on_after, sleep

from kingcupdyke.error import Failure, Step

__all__ = ["BackEndHealth"]

_PROBE_S = 0.5
_PROBE_TIMEOUT_S = 1.0


class BackEndHealth:
    """Keeps work away from back ends that are gone, until they take connections again.

    A back end that refuses each request at once would otherwise look idle and draw all work.

    :param engine_url: address of the engine, or the empty string
    :param services_by_name: addresses of the plain services
    """

    def __init__(self, engine_url: str, services_by_name: Mapping[str, str]) -> None:
        self._engine_url = engine_url
        self._services_by_name = services_by_name
        self._down_urls: set[str] = set()

    @property
    def has_engine(self) -> bool:
        """Whether there is an engine and it takes connections."""
        return bool(self._engine_url) and self._engine_url not in self._down_urls

    @property
    def services(self) -> list[str]:
        """Names of the services that take connections."""
        urls = self._services_by_name
        return sorted(name for name in urls if urls[name] not in self._down_urls)

    def is_up(self, target: str) -> bool:
        """:return: whether the back end of a service, else the engine, takes connections"""
        return self._find_url(target) not in self._down_urls

    def hear(self, target: str, failure: Failure | None) -> None:
        """Take the end of an exchange with the back end of a service, else with the engine."""
        url = self._find_url(target)
        if failure is not None and failure.step is Step.CONNECT:
            self._down_urls.add(url)
        else:
            self._down_urls.discard(url)

    async def probe_forever(self) -> None:
        """Look again and again whether a back end that was gone is back."""
        while True:
            await sleep(_PROBE_S)
            for url in list(self._down_urls):
                if await _takes_connections(url):
                    self._down_urls.discard(url)

    def _find_url(self, target: str) -> str:
        return self._services_by_name.get(target, self._engine_url)


async def _takes_connections(url: str) -> bool:
    parts = urlsplit(url)
    with move_on_after(_PROBE_TIMEOUT_S):
        try:
            stream = await connect_tcp(parts.hostname, parts.port or 80)
        except OSError:
            return False
        await stream.aclose()
        return True
    return False

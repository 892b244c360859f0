"""
kingcupdyke_daemon.sidecar.health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Detection of backends that do not accept connections.
"""

from collections.abc import Mapping
from urllib.parse import urlsplit

from anyio import connect_tcp, move_on_after, sleep

from kingcupdyke.error import Failure, Step

__all__ = ["BackendHealth"]

_PROBE_INTERVAL_S = 0.5
_PROBE_TIMEOUT_S = 1.0


class BackendHealth:
    """Records which backends are down, so that they get no requests until they recover.

    A backend that rejects each request immediately would otherwise look idle and get all requests.

    :param engine_url: address of the engine, or the empty string
    :param services_by_name: addresses of the plain services
    """

    def __init__(self, engine_url: str, services_by_name: Mapping[str, str]) -> None:
        self._engine_url = engine_url
        self._services_by_name = services_by_name
        self._down_urls: set[str] = set()

    @property
    def has_engine(self) -> bool:
        """Whether there is an engine and it accepts connections."""
        return bool(self._engine_url) and self._engine_url not in self._down_urls

    @property
    def services(self) -> list[str]:
        """Names of the services that accept connections."""
        urls = self._services_by_name
        return sorted(name for name in urls if urls[name] not in self._down_urls)

    def is_up(self, target: str) -> bool:
        """:return: whether the backend of a service, else the engine, accepts connections"""
        return self._find_url(target) not in self._down_urls

    def record_result(self, target: str, failure: Failure | None) -> None:
        """Record the result of a request to the backend of a service, else to the engine."""
        url = self._find_url(target)
        if failure is not None and failure.step is Step.CONNECT:
            self._down_urls.add(url)
        else:
            self._down_urls.discard(url)

    async def probe_forever(self) -> None:
        """Check periodically whether backends that were down accept connections again."""
        while True:
            await sleep(_PROBE_INTERVAL_S)
            for url in list(self._down_urls):
                if await _accepts_connections(url):
                    self._down_urls.discard(url)

    def _find_url(self, target: str) -> str:
        return self._services_by_name.get(target, self._engine_url)


async def _accepts_connections(url: str) -> bool:
    parts = urlsplit(url)
    with move_on_after(_PROBE_TIMEOUT_S):
        try:
            stream = await connect_tcp(parts.hostname, parts.port or 80)
        except OSError:
            return False
        await stream.aclose()
        return True
    return False

"""
kingcupdyke_measure.fleetnode
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A process of a measured fleet: a forwarding gateway, or the endpoints.

Its only argument is a JSON object. A gateway gets its settings in it; ``endpoints`` serves streams
and plain answers on a port that it prints.
"""

import json
import sys

import anyio
from expression import Ok, Result

from kingcupdyke_daemon.forwarder.main import run_process
from kingcupdyke_daemon.forwarder.settings import (
    ForwarderSettings,
    SettingsSource,
    SocketAddress,
)
from kingcupdyke_daemon.logs import start_logs
from kingcupdyke_measure.fleetdialect import SILENT_PATH, STREAM_PATH, FleetDialect
from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp
from kingcupdyke_standins.server import run_standin
from kingcupdyke_wire.store import HttpStoreClient

__all__ = ["EVENTS", "main"]

#: Events of a stream, and seconds between them.
EVENTS = 20
EVENT_INTERVAL_S = 0.02
EVENT = b"data: " + 40 * b"x" + b"\n\n"


class _FixedSettings(SettingsSource):
    """Settings that do not change."""

    def __init__(self, settings: ForwarderSettings) -> None:
        self._settings = settings

    def read_stamp(self) -> object:
        return 1

    def load(self) -> Result[ForwarderSettings, list[str]]:
        return Ok(self._settings)


class EndpointApp(StandinApp):
    """Answers each request at once, with a stream of events, or not at all."""

    def __init__(self) -> None:
        super().__init__("service")

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        if request.path[0] == SILENT_PATH.strip("/"):
            await reply.wait_disconnect()
            return
        headers = {"x-request-id": request.headers.get("x-request-id", "")}
        if request.path[0] != STREAM_PATH.strip("/"):
            await reply.send_response(200, b"x" * 800, headers)
            return
        await reply.begin(200, headers | {"content-type": "text/event-stream"})
        for _ in range(EVENTS):
            await reply.part(EVENT)
            await anyio.sleep(EVENT_INTERVAL_S)
        await reply.end()


def make_settings(fields: dict) -> ForwarderSettings:
    """:return: settings of a gateway from an argument of :func:`main`"""
    addresses = {name: SocketAddress("127.0.0.1", port) for name, port in fields["ports"].items()}
    return ForwarderSettings(
        host=fields["host"],
        data_centre=fields["data_centre"],
        region_by_data_centre=fields["region_by_data_centre"],
        store_url=fields["store_url"],
        grace_s=2.0,
        repeat_share=0.2,
        repeat_allowance=50.0,
        repeat_window_s=10.0,
        lease_s=3.0,
        apply_s=5.0,
        **addresses,
    )


def main() -> None:
    """Run the process until it is stopped."""
    fields = json.loads(sys.argv[1])
    if "endpoints" in fields:
        run_standin(EndpointApp(), "127.0.0.1", 0)
        return
    start_logs("INFO")
    settings = make_settings(fields)
    print(f"listening 127.0.0.1:{settings.front.port}", flush=True)
    store = HttpStoreClient(settings.store_url)
    run_process(settings, _FixedSettings(settings), FleetDialect(), store)


if __name__ == "__main__":
    main()

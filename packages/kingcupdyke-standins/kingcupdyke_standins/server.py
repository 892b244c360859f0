"""
kingcupdyke_standins.server
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs one stand-in as a process.
"""

import socket

from anyio import create_task_group, run
from uvicorn import Config, Server

from kingcupdyke_standins.asgi import StandinApp
from kingcupdyke_standins.protocol import StandinProtocol

__all__ = ["run_standin"]

BACKLOG = 1024
#: Long enough that only the other end closes idle connections.
KEEP_ALIVE_S = 3600
#: Seconds that a stop waits for answers, some of which never come.
STOP_S = 1


class _Server(Server):
    """Says on the standard output where it listens."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        address, port = sockets[0].getsockname()
        print(f"listening {address}:{port}", flush=True)


def run_standin(app: StandinApp, address: str, port: int) -> None:
    """Serve until the process is told to stop.

    :param address: IP number to listen on
    :param port: port, or 0 for one that the system chooses
    """
    run(_serve, app, address, port)


async def _serve(app: StandinApp, address: str, port: int) -> None:
    config = Config(
        app,
        http=StandinProtocol,
        ws="none",
        lifespan="off",
        log_level="warning",
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=STOP_S,
    )
    listener = socket.create_server((address, port), backlog=BACKLOG)
    async with create_task_group() as tasks:
        await app.begin(tasks)
        await _Server(config).serve(sockets=[listener])
        tasks.cancel_scope.cancel()

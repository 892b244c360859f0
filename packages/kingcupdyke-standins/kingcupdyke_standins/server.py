"""
kingcupdyke_standins.server
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs a stand-in as a process, or in the event loop of a test.
"""

import logging
import signal
import socket
from asyncio import CancelledError, get_running_loop
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import create_task_group, open_signal_receiver, run
from uvicorn import Config
from uvicorn.server import ServerState

from kingcupdyke_standins.asgi import StandinApp
from kingcupdyke_standins.protocol import StandinProtocol

__all__ = ["open_standin", "run_standin"]

#: Logger on which uvicorn reports uncaught exceptions of a handler.
ERROR_LOGGER = "uvicorn.error"

LOOPBACK = "127.0.0.1"
BACKLOG = 1024
#: Timeout of idle connections, so long that in practice only clients close them.
KEEP_ALIVE_S = 3600


def _is_unexpected(record: logging.LogRecord) -> bool:
    """:return: whether a log record reports more than a handler's cancellation by a stop"""
    return not (record.exc_info and isinstance(record.exc_info[1], CancelledError))


def run_standin(app: StandinApp, address: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT; print the address to standard output once it listens.

    :param address: IP address to listen on
    :param port: port, or 0 for one that the system chooses
    """
    run(_serve, app, address, port)


@asynccontextmanager
async def open_standin(
    app: StandinApp, address: str = LOOPBACK, port: int = 0
) -> AsyncIterator[str]:
    """Serve in the running loop while the context is open.

    :return: address and port, separated by a colon
    """
    config = Config(
        app,
        http=StandinProtocol,
        ws="none",
        lifespan="off",
        log_level="warning",
        timeout_keep_alive=KEEP_ALIVE_S,
    )
    config.load()
    logging.getLogger(ERROR_LOGGER).addFilter(_is_unexpected)
    state = ServerState()
    listener = _listen(address, port)
    async with create_task_group() as tasks:
        await app.begin(tasks)
        server = await get_running_loop().create_server(
            lambda: StandinProtocol(config, state, {}), sock=listener
        )
        try:
            yield "{}:{}".format(*listener.getsockname())
        finally:
            server.close()
            StandinProtocol.abort_all()
            tasks.cancel_scope.cancel()


async def _serve(app: StandinApp, address: str, port: int) -> None:
    with open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with open_standin(app, address, port) as listening:
            print(f"listening {listening}", flush=True)
            async for _ in signals:
                break


def _listen(address: str, port: int) -> socket.socket:
    # asyncio disables Nagle's algorithm only on sockets created with an explicit protocol.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen(BACKLOG)
    return listener

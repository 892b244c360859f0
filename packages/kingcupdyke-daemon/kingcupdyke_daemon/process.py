"""
kingcupdyke_daemon.process
~~~~~~~~~~~~~~~~~~~~~~~~~~

Start, planned stop and status page of both daemons.
"""

import signal
import sys
import time
from collections.abc import Callable
from socket import socket
from uuid import uuid4

from anyio import open_signal_receiver
from prometheus_client import make_asgi_app

__all__ = ["StatusApp", "make_incarnation", "print_addresses", "watch_signals"]


def make_incarnation() -> str:
    """:return: name of this start of the process, which sorts after those of earlier starts"""
    return f"{time.time_ns():020d}-{uuid4().hex[:8]}"


def print_addresses(**listeners: socket) -> None:
    """Print in one line the addresses on which the process listens, for its parent process.

    :param listeners: listening sockets by the label that precedes their address
    """
    entries = []
    for label, listener in listeners.items():
        address, port = listener.getsockname()[:2]
        entries.append(f"{label} {address}:{port}")
    # A single write, as another thread may write lines of the log.
    sys.stdout.write(" ".join(entries) + "\n")
    sys.stdout.flush()


async def watch_signals(begin_stop: Callable[[], None]) -> None:
    """Begin a planned stop at SIGTERM or SIGINT; a second signal has no effect."""
    with open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            begin_stop()


class StatusApp:
    """``/healthz``, ``/readyz`` and ``/metrics``.

    :param is_ready: returns whether the process accepts requests
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._metrics = make_asgi_app()

    #: Paths that this application answers.
    paths = ("/healthz", "/readyz", "/metrics")

    async def __call__(self, scope: dict, receive: object, send: Callable) -> None:
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path.startswith("/metrics"):
            await self._metrics(scope, receive, send)
            return
        status = 200 if path == "/healthz" or (path == "/readyz" and self._is_ready()) else 503
        if path not in self.paths:
            status = 404
        head = {"type": "http.response.start", "status": status, "headers": []}
        await send(head)
        await send({"type": "http.response.body", "body": b"ok\n" if status == 200 else b"no\n"})

"""
kingcupdyke_daemon.process
~~~~~~~~~~~~~~~~~~~~~~~~~~

What both daemons do at their start and at a planned stop.
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
    """:return: a name of this start, which sorts after those of earlier starts"""
    return f"{time.time_ns():020d}-{uuid4().hex[:8]}"


def print_addresses(**listeners: socket) -> None:
    """Say in one line where the process listens, for whoever started it.

    :param listeners: sockets by the word that goes before their address
    """
    places = []
    for word, listener in listeners.items():
        address, port = listener.getsockname()[:2]
        places.append(f"{word} {address}:{port}")
    # In one write, as lines of the log may come from another thread.
    sys.stdout.write(" ".join(places) + "\n")
    sys.stdout.flush()


async def watch_signals(begin_stop: Callable[[], None]) -> None:
    """Begin a planned stop at SIGTERM or SIGINT; a second one changes nothing."""
    with open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            begin_stop()


class StatusApp:
    """``/healthz``, ``/readyz`` and ``/metrics``.

    :param is_ready: tells whether the process takes work
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

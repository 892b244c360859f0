"""
kingcupdyke_daemon.forwarder.readyhandler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the load balancer whether this gateway takes new connections.
"""

from kingcupdyke_daemon.forwarder.reply import ClientRequest, Reply, RequestHandler

__all__ = ["ReadyHandler"]


class ReadyHandler(RequestHandler):
    """Answers the load balancer's readiness check."""

    def __init__(self) -> None:
        self.is_ready = False

    async def handle(self, request: ClientRequest, reply: Reply) -> None:
        await reply.answer(200 if self.is_ready else 503, [], b"")

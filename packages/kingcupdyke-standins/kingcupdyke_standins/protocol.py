"""
kingcupdyke_standins.protocol
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

uvicorn's protocol with connections that can be dropped and frozen.
"""

from asyncio import Transport
from typing import ClassVar

from uvicorn.protocols.http.h11_impl import H11Protocol

__all__ = ["StandinProtocol"]


class StandinProtocol(H11Protocol):
    """Keeps the open connections of the process by the address of the other end."""

    transports_by_client: ClassVar[dict[tuple[str, int], Transport]] = {}
    #: Connections that stay open and silent.
    frozen_clients: ClassVar[set[tuple[str, int]]] = set()

    def connection_made(self, transport: Transport) -> None:
        super().connection_made(transport)
        self.transports_by_client[self.client] = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transports_by_client.pop(self.client, None)
        self.frozen_clients.discard(self.client)
        super().connection_lost(exc)

    @classmethod
    def abort(cls, client: tuple[str, int]) -> None:
        """Drop a connection without sending what is left."""
        transport = cls.transports_by_client.get(client)
        if transport is not None:
            transport.abort()

    @classmethod
    def abort_all(cls) -> None:
        """Drop every connection."""
        for client in list(cls.transports_by_client):
            cls.abort(client)

    @classmethod
    def write(cls, client: tuple[str, int], content: bytes) -> None:
        """Send bytes outside of any answer."""
        transport = cls.transports_by_client.get(client)
        if transport is not None:
            transport.write(content)

    @classmethod
    def freeze_all(cls) -> None:
        """Neither read nor write on the connections that are open now."""
        cls.frozen_clients |= set(cls.transports_by_client)
        for transport in cls.transports_by_client.values():
            transport.pause_reading()

    @classmethod
    def is_frozen(cls, client: tuple[str, int]) -> bool:
        """:return: whether a connection is silent for good"""
        return client in cls.frozen_clients

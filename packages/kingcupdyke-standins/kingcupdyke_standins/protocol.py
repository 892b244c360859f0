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
    """Registers the open connections of the process by the address of the client."""

    transports_by_client: ClassVar[dict[tuple[str, int], Transport]] = {}
    #: Clients whose connections stay open but carry no more data.
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
        """Drop a connection and discard its unsent data."""
        transport = cls.transports_by_client.get(client)
        if transport is not None:
            transport.abort()

    @classmethod
    def abort_all(cls) -> None:
        """Drop all connections."""
        for client in list(cls.transports_by_client):
            cls.abort(client)

    @classmethod
    def write(cls, client: tuple[str, int], content: bytes) -> None:
        """Send bytes that belong to no answer."""
        transport = cls.transports_by_client.get(client)
        if transport is not None:
            transport.write(content)

    @classmethod
    def freeze_all(cls) -> None:
        """Stop reading and writing on the connections that are open now."""
        cls.frozen_clients |= set(cls.transports_by_client)
        for transport in cls.transports_by_client.values():
            transport.pause_reading()

    @classmethod
    def is_frozen(cls, client: tuple[str, int]) -> bool:
        """:return: whether a connection is frozen, which it stays until it is closed"""
        return client in cls.frozen_clients

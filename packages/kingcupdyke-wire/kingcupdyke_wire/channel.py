"""
kingcupdyke_wire.channel
~~~~~~~~~~~~~~~~~~~~~~~~

A gRPC channel whose errors while connecting are all connection errors.
"""

from grpclib.client import Channel
from grpclib.protocol import H2Protocol

__all__ = ["HostChannel"]


class HostChannel(Channel):
    """A channel to one host.

    grpclib raises an :exc:`AttributeError` for a call on a connection that was lost between its
    establishment and the call.
    """

    async def __connect__(self) -> H2Protocol:
        """:return: the established connection
        :raises OSError: if the connection can't be established or is already lost
        """
        protocol = await super().__connect__()
        if protocol.processor.connection.is_closing():
            raise ConnectionResetError("connection lost")
        return protocol

"""
kingcupdyke_wire.calls
~~~~~~~~~~~~~~~~~~~~~~

Calls over grpclib from code that runs under anyio's cancel scopes.
"""

from asyncio import current_task
from collections.abc import Generator
from contextlib import contextmanager

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

__all__ = ["CALL_ERRORS", "contain_call", "take_back_cancel"]

#: What a broken or refused call raises.
CALL_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
    OSError,
    TimeoutError,
)


@contextmanager
def contain_call() -> Generator[None, None, None]:
    """Keep a lost connection from cancelling more than the call.

    grpclib cancels the task that waits on a lost connection, turns that into an error, and
    never takes the request to cancel back. A cancel scope that ends later in the same task
    would take it for a cancel from outside and let it through.

    :raises CALL_ERRORS: as the call raised them
    """
    try:
        yield
    except CALL_ERRORS:
        take_back_cancel()
        raise


def take_back_cancel() -> None:
    """Take back what grpclib's cancels of this task have left.

    A scope that is cancelled cancels the task anew for as long as the task stays in it.
    """
    task = current_task()
    while task.cancelling():
        task.uncancel()

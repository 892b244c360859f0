"""
kingcupdyke_wire.calls
~~~~~~~~~~~~~~~~~~~~~~

Error handling for grpclib calls in tasks that use anyio's cancel scopes.
"""

from asyncio import current_task
from collections.abc import Generator
from contextlib import contextmanager
from logging import Logger

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

__all__ = ["CALL_ERRORS", "contain_cancellation", "log_call_errors", "uncancel_task"]

#: Exceptions of a call that failed or was rejected.
CALL_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
    OSError,
    TimeoutError,
)


@contextmanager
def contain_cancellation() -> Generator[None, None, None]:
    """Prevent a lost connection from cancelling the code around the call.

    grpclib cancels the task that waits on a lost connection, converts the cancellation into an
    error, and never calls :meth:`asyncio.Task.uncancel`. A cancel scope that ends later in the
    same task would mistake this for a cancellation from outside and propagate it.

    :raises CALL_ERRORS: the unchanged exception of the call
    """
    try:
        yield
    except CALL_ERRORS:
        uncancel_task()
        raise


@contextmanager
def log_call_errors(logger: Logger, call: str) -> Generator[None, None, None]:
    """Log the failure of a call that the code around it can do without.

    :param logger: the logger of the calling module
    :param call: the method and the host that was called, for the log
    """
    try:
        yield
    except CALL_ERRORS as error:
        uncancel_task()
        logger.debug("%s failed: %r", call, error)


def uncancel_task() -> None:
    """Undo the cancellation requests that grpclib has left on the current task.

    A cancelled anyio scope is not affected: it cancels the task again while the task is in it.
    """
    task = current_task()
    while task.cancelling():
        task.uncancel()

"""
kingcupdyke_daemon.forwarder.finalanswer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The final answer to a request that no endpoint has answered with success.
"""

from typing import NamedTuple

from kingcupdyke_daemon.forwarder.dialect import Dialect, Headers
from kingcupdyke_daemon.forwarder.reply import Reply

__all__ = ["STATUS_TOO_MANY", "STATUS_UNAVAILABLE", "FinalAnswer", "KeptAnswer"]

STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504


class KeptAnswer(NamedTuple):
    """A failed answer of an endpoint, passed on unless another endpoint answers."""

    status: int
    headers: Headers
    body: bytes


class FinalAnswer:
    """Passes on a failed answer of an endpoint, or writes one of the gateway's own.

    :param reply: writes the answer to the client
    :param dialect: writes the headers of a rejection
    :param attempt_id: id of the client's attempt
    """

    def __init__(self, reply: Reply, dialect: Dialect, attempt_id: str) -> None:
        self._reply = reply
        self._dialect = dialect
        self._attempt_id = attempt_id
        #: The last failed answer of an endpoint, or None.
        self.kept: KeptAnswer | None = None
        #: Status of a rejection that has certainly not run.
        self.rejection_status = STATUS_UNAVAILABLE

    async def send(
        self, reason: str, retry_after_s: float, may_have_run: bool, is_late: bool
    ) -> int | None:
        """Send the final answer, unless a part of another one was sent.

        :param retry_after_s: when the client is to retry a request that certainly did not run
        :param may_have_run: whether the request may have run at an endpoint
        :param is_late: whether its deadline has passed
        :return: the status, or None if nothing was sent
        """
        if self._reply.has_begun:
            return None
        if self.kept is not None:
            await self._reply.answer(*self.kept)
            return self.kept.status
        if may_have_run:
            status = STATUS_TIMEOUT if is_late else STATUS_BAD_GATEWAY
            headers = self._dialect.write_rejection(self._attempt_id, None)
        else:
            status = self.rejection_status
            headers = self._dialect.write_rejection(self._attempt_id, retry_after_s)
        await self._reply.reject(status, reason, headers)
        return status

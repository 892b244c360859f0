"""
kingcupdyke_daemon.forwarder.exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One request on a connection to an endpoint, and its answer.
"""

import logging
from collections.abc import AsyncIterator, Callable

from anyio import move_on_after
from anyio.abc import TaskGroup
from h11 import (
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from kingcupdyke.answer import is_final_status
from kingcupdyke.error import AnswerFault
from kingcupdyke.forwarding.metadata import AnswerMetadata
from kingcupdyke.forwarding.unfinishedparts import UnfinishedPart
from kingcupdyke_daemon.forwarder.connection import (
    TRANSFER_ERRORS,
    EndpointConnection,
    Progress,
    TransferError,
)
from kingcupdyke_daemon.forwarder.dialect import Dialect, Headers

__all__ = ["STATUS_MISDIRECTED", "Exchange"]

_LOGGER = logging.getLogger(__name__)
#: Status of an answer that has not run the request, as it was meant for another endpoint.
STATUS_MISDIRECTED = 421
#: Number of answers read in search of the answer to the current request. A request fails if all of
#: them are for other attempts.
MAX_STRAY_ANSWERS = 3
#: Limit of the size of the body of each of them.
MAX_STRAY_BYTES = 1_048_576
#: Limit of the heads that announce the head of the answer.
MAX_INFORMATIONAL_HEADS = 8
#: Limit of a body that is read whole before it is used, in bytes and seconds.
MAX_SHORT_BODY_BYTES = 65_536
SHORT_BODY_TIMEOUT_S = 0.5


class Exchange:
    """The transfer of one request and of its answer.

    :param connection: an idle connection, which this exchange owns from :meth:`send` on
    :param dialect: reads the attempt id from the headers of an answer
    :param attempt_id: id of the client's attempt, which the answer must name; empty if unknown
    """

    def __init__(self, connection: EndpointConnection, dialect: Dialect, attempt_id: str) -> None:
        self._connection = connection
        self._dialect = dialect
        self._attempt_id = attempt_id
        self._request: Request | None = None
        self._progress = Progress.NOT_SENT

    @property
    def progress(self) -> Progress:
        """:return: how far the request has come; it only rises"""
        return self._progress

    def send(
        self, tasks: TaskGroup, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Start sending the request; the answer may arrive before it is sent completely.

        :param tasks: task group that sends the bytes in the background
        :raises TransferError: when the request is not valid HTTP/1.1, or the connection is in use;
            nothing has been sent then
        """
        try:
            request = Request(method=method, target=target, headers=headers)
            parts = self._connection.begin(request, body)
        except LocalProtocolError as error:
            raise TransferError(self._progress, f"sending the request failed: {error!r}") from error
        self._request = request
        self._progress = Progress.SENT
        tasks.start_soon(self._send_all, parts)

    async def read_head(self, on_answer: Callable[[int, AnswerMetadata], None]) -> Response:
        """Read the head of the answer, skipping answers to other attempts, and those that name none
        after an earlier request on the connection.

        :param on_answer: called with status and metadata of each answer, also to another attempt
        :raises TransferError: when the connection breaks or only carries other answers
        """
        for _ in range(MAX_STRAY_ANSWERS):
            response = await self._next_response()
            metadata = self._dialect.read_answer(list(response.headers))
            self._connection.keep_alive_s = metadata.keep_alive_s
            on_answer(response.status_code, metadata)
            if self._is_own(metadata.attempt_id):
                self._note_own(response.status_code, metadata)
                return response
            await self._skip_answer()
        reason = "received only answers to other attempts"
        raise TransferError(self._progress, reason, fault=AnswerFault.STRAY)

    def _is_own(self, named: str) -> bool:
        """:return: whether an answer belongs to this request, from the attempt that it names"""
        if self._connection.is_first_request and not (named and self._attempt_id):
            return True
        return named == self._attempt_id

    def _note_own(self, status: int, metadata: AnswerMetadata) -> None:
        self._progress = Progress.ANSWERING
        if not self._attempt_id:
            return
        self._connection.is_unnamed = not metadata.attempt_id
        if metadata.is_not_run or status == STATUS_MISDIRECTED:
            self._connection.rejected_attempts.add(self._attempt_id)

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the answer as it arrives.

        :raises TransferError: when the connection breaks before the end of the body
        """
        while True:
            event = await self._next_event()
            if isinstance(event, EndOfMessage):
                return
            if not isinstance(event, Data):
                raise TransferError(self._progress, "the answer ended early")
            yield bytes(event.data)

    async def read_short_body(self, part: UnfinishedPart) -> bytes | None:
        """Read the body of an answer that is not passed on as it arrives.

        :param part: account of the bytes
        :return: the body, or None if it is too long, too slow or not permitted by the account, so
            that the rest stays unread
        :raises TransferError: when the connection breaks before the end of the body
        """
        body = bytearray()
        with move_on_after(SHORT_BODY_TIMEOUT_S):
            async for data in self.read_body():
                body += data
                if len(body) > MAX_SHORT_BODY_BYTES or not part.resize(len(body)):
                    return None
            return bytes(body)
        return None

    async def _send_all(self, parts: list[bytes]) -> None:
        try:
            await self._connection.write(parts)
        except TRANSFER_ERRORS as error:
            # The endpoint may have answered before: reading the answer determines the outcome.
            _LOGGER.debug("sending the request failed: %r", error)

    async def _skip_answer(self) -> None:
        skipped = 0
        async for data in self.read_body():
            skipped += len(data)
            if skipped > MAX_STRAY_BYTES:
                reason = "the answer to another attempt is too long"
                raise TransferError(self._progress, reason, fault=AnswerFault.STRAY)
        self._connection.expect_another_answer(self._request)

    async def _next_response(self) -> Response:
        for _ in range(MAX_INFORMATIONAL_HEADS + 1):
            event = await self._next_event()
            if isinstance(event, InformationalResponse):
                continue
            if not isinstance(event, Response):
                raise TransferError(self._progress, "the connection was closed")
            if not is_final_status(event.status_code):
                reason = f"invalid status {event.status_code}"
                raise TransferError(self._progress, reason, fault=AnswerFault.STATUS)
            return event
        reason = "received only informational answers"
        raise TransferError(self._progress, reason, fault=AnswerFault.STRAY)

    async def _next_event(self) -> object:
        try:
            event = await self._connection.next_event()
        except TRANSFER_ERRORS as error:
            fault = AnswerFault.MALFORMED if isinstance(error, RemoteProtocolError) else None
            reason = f"reading the answer failed: {error!r}"
            raise TransferError(self._progress, reason, fault=fault) from error
        if event is None:
            raise TransferError(self._progress, "the connection was closed")
        return event

"""
kingcupdyke_wire.http
~~~~~~~~~~~~~~~~~~~~~

HTTP client whose failures state whether the server may have executed the request.
"""

from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from typing import NamedTuple
from urllib.parse import urlsplit

from anyio import CancelScope, fail_after
from expression import Error, Ok, Result
from httpcore import (
    URL,
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    Request,
    Response,
    TimeoutException,
)

from kingcupdyke.answer import is_final_status
from kingcupdyke.error import AnswerFault, Failure, Outcome, Step
from kingcupdyke_wire.answerlimit import WHOLE_ANSWER, AnswerLimit, RefusedAnswerError, read_whole
from kingcupdyke_wire.completeness import find_truncation, is_judged_by_content

__all__ = ["ExchangeError", "HttpAnswer", "HttpClient", "HttpStream"]

#: Seconds for which an idle connection is kept. Servers commonly close theirs after 5 s;
#: closing first avoids sending a request on a connection that the server has just closed.
KEEPALIVE_EXPIRY_S = 2.0
MAX_IDLE_CONNECTIONS = 64
#: Trace event of httpcore after which bytes of the request may have been sent.
SEND_STARTED = "http11.send_request_headers.started"


#: Exceptions of a failed exchange; :func:`anyio.fail_after` raises the built-in TimeoutError.
EXCHANGE_ERRORS = (NetworkError, ProtocolError, TimeoutException, TimeoutError, RefusedAnswerError)


class HttpAnswer(NamedTuple):
    """An answer that was read completely."""

    status: int
    #: Values of the header fields, by name in lower case.
    headers: dict[str, str]
    body: bytes


class HttpStream(NamedTuple):
    """An answer whose body is read part by part."""

    status: int
    #: Values of the header fields, by name in lower case.
    headers: dict[str, str]
    #: Parts of the body as they arrive; raises :class:`ExchangeError`.
    parts: AsyncIterator[bytes]


class ExchangeError(Exception):
    """A streamed exchange failed before the end of the answer.

    :param failure: outcome, step and reason
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.step} at {failure.peer}: {failure.reason}")
        self.failure = failure


class _Progress:
    """Records whether a request may have reached the server."""

    #: Whether any byte of the request may have been sent.
    sent = False

    async def trace(self, event: str, info: dict) -> None:
        """Handle a trace event of httpcore."""
        if event == SEND_STARTED:
            self.sent = True


class HttpClient:
    """Sends requests to one server over a pool of connections.

    After a timeout or cancellation, the connection is closed and never reused.

    :param base_url: scheme, address and port
    :param timeout_s: default timeout of a request in seconds
    :param peer: name of the server in failures; its address by default
    :param step: step of failures that occur after the connection was established
    :param reuse: whether connections are used for several requests; if so, a server that sends
        an answer twice makes the next request receive the second one
    :param socket_options: level, name and value of the options to set on each connection
    :param limit: limit of answers that are read whole, unless a request has its own
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float,
        peer: str | None = None,
        step: Step = Step.RUN,
        reuse: bool = False,
        socket_options: Iterable[tuple[int, int, int]] = (),
        limit: AnswerLimit = WHOLE_ANSWER,
    ) -> None:
        parts = urlsplit(base_url)
        self._scheme = parts.scheme
        self._host = parts.hostname or ""
        self._port = parts.port
        self._timeout_s = timeout_s
        self._step = step
        self._limit = limit
        self.peer = peer or parts.netloc
        self._pool = AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS if reuse else 0,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            socket_options=list(socket_options),
        )

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float | None = None,
        limit: AnswerLimit | None = None,
        may_hold: Callable[[int], bool] = lambda size: True,
    ) -> Result[HttpAnswer, Failure]:
        """Send a request and read the complete answer.

        :param path: path and query, quoted
        :param timeout_s: seconds for the whole exchange; None for the client's default
        :param limit: limit of the answer; None for the client's default
        :param may_hold: is told the bytes of the body that are held, and returns whether they may
            be
        :return: the answer with any status, or a failure: "not run" if nothing was sent,
            otherwise "unknown", also if the answer ended before it was complete; a failure with a
            fault if the answer exceeds the limit or may not be held
        """
        limit = limit or self._limit
        progress = _Progress()
        request = self._build(method, path, headers, body, {"trace": progress.trace})
        try:
            with fail_after(self._timeout_s if timeout_s is None else timeout_s):
                response = await self._pool.handle_async_request(request)
                try:
                    _check_status(response)
                    headers = _read_headers(response)
                    limit.check_length(_read_length(headers))
                    content = await read_whole(response.stream, limit, may_hold)
                finally:
                    await _close(response)
            if is_judged_by_content(headers):
                limit.check_decoded(content)
        except EXCHANGE_ERRORS as error:
            return Error(self._make_failure(error, progress))
        answer = HttpAnswer(response.status, headers, content)
        if reason := find_truncation(answer.headers, content):
            return Error(Failure(Outcome.UNKNOWN, self._step, self.peer, reason))
        return Ok(answer)

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> AsyncIterator[HttpStream]:
        """Send a request and read the answer part by part.

        Leaving the context before the end closes the connection.

        :param path: path and query, quoted
        :param timeout_s: seconds until the answer begins, and between its parts; None for the
            client's default
        :raises ExchangeError: when the exchange fails, also while the parts are read
        """
        progress = _Progress()
        idle_timeout_s = self._timeout_s if timeout_s is None else timeout_s
        extensions = {"trace": progress.trace, "timeout": {"read": idle_timeout_s}}
        request = self._build(method, path, headers, body, extensions)
        try:
            with fail_after(idle_timeout_s):
                response = await self._pool.handle_async_request(request)
            await _require_status(response)
        except EXCHANGE_ERRORS as error:
            raise ExchangeError(self._make_failure(error, progress)) from error
        try:
            parts = self._read_parts(response, progress)
            yield HttpStream(response.status, _read_headers(response), parts)
        finally:
            await _close(response)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    def _build(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None,
        body: bytes,
        extensions: dict[str, object],
    ) -> Request:
        url = URL(scheme=self._scheme, host=self._host, port=self._port, target=path)
        fields = {"host": f"{self._host}:{self._port}", **(headers or {})}
        if body or method in ("POST", "PUT"):
            fields["content-length"] = str(len(body))
        return Request(
            method, url, headers=list(fields.items()), content=body, extensions=extensions
        )

    def _make_failure(self, error: Exception, progress: _Progress) -> Failure:
        reason = str(error) or type(error).__name__
        if progress.sent:
            fault = error.fault if isinstance(error, RefusedAnswerError) else None
            return Failure(Outcome.UNKNOWN, self._step, self.peer, reason, fault=fault)
        return Failure(Outcome.NOT_RUN, Step.CONNECT, self.peer, reason)

    async def _read_parts(self, response: Response, progress: _Progress) -> AsyncIterator[bytes]:
        try:
            async for part in response.stream:
                yield part
        except EXCHANGE_ERRORS as error:
            raise ExchangeError(self._make_failure(error, progress)) from error


def _read_headers(response: Response) -> dict[str, str]:
    """:return: the values of the header fields, by name; several of one name as a list"""
    headers: dict[str, str] = {}
    for raw_name, raw_value in response.headers:
        name, value = raw_name.decode("latin-1").lower(), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def _check_status(response: Response) -> None:
    """:raises RefusedAnswerError: when the status is none that an answer can have"""
    if not is_final_status(response.status):
        reason = f"invalid status {response.status}"
        raise RefusedAnswerError(AnswerFault.STATUS, reason)


async def _require_status(response: Response) -> None:
    """Close an answer whose status is none.

    :raises RefusedAnswerError: when the status is none that an answer can have
    """
    try:
        _check_status(response)
    except RefusedAnswerError:
        await _close(response)
        raise


def _read_length(headers: dict[str, str]) -> int:
    """:return: the size of the body that an answer announces in bytes, or 0 if it does not"""
    length = headers.get("content-length", "")
    return int(length) if length.isascii() and length.isdigit() else 0


async def _close(response: Response) -> None:
    with CancelScope(shield=True):
        await response.aclose()

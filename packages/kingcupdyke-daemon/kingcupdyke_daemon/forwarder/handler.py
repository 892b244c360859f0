"""
kingcupdyke_daemon.forwarder.handler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the routes of clients' requests and forwards or rejects them.
"""

import logging
from collections.abc import Callable
from math import inf

from anyio import CancelScope

from kingcupdyke.forwarding.callertable import Caller, CallerTable
from kingcupdyke.forwarding.configuration import Configuration, Route
from kingcupdyke.forwarding.dispatcher import STOPPING_RETRY_S
from kingcupdyke.forwarding.metadata import RequestMetadata
from kingcupdyke.forwarding.readdelay import (
    READ_DELAY_RETRY_S,
    READ_DELAY_TARGET_S,
    ReadDelayControl,
)
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.dialect import Headers
from kingcupdyke_daemon.forwarder.finalanswer import STATUS_UNAVAILABLE
from kingcupdyke_daemon.forwarder.forwardedrequest import RETRY_AFTER_S, ForwardedRequest
from kingcupdyke_daemon.forwarder.reply import ClientRequest, Reply, RequestHandler
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import DataAges, RefusalRecord

__all__ = ["ForwardingHandler"]

_LOGGER = logging.getLogger(__name__)
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
#: Reason of rejections while all requests are read late.
SHORTAGE = "this gateway is short of processor time"
#: Header of a rejection that names the scheme of the expected credentials.
CHALLENGE = (b"www-authenticate", b"Bearer")


class ForwardingHandler(RequestHandler):
    """Answers clients' requests according to the routes in force.

    :param deps: collaborators of the forwarded requests
    :param get_ages: returns the ages of the data that decisions are based on
    """

    def __init__(
        self,
        deps: ForwarderDependencies,
        get_ages: Callable[[], DataAges] = lambda: DataAges(0, 0),
    ) -> None:
        self._deps = deps
        self.get_ages = get_ages
        self.configuration: Configuration | None = None
        #: Whether the store has recently confirmed the configuration. If not, a request without a
        #: route gets a 503 instead of a 404.
        self.is_configuration_fresh = True
        #: Number of gateways that share the retry budget.
        self.gateway_count = 1
        #: Time from which on new requests are rejected, as the process is about to end.
        self.reject_from_s = inf
        self._scopes: set[CancelScope] = set()
        self._read_delays = ReadDelayControl()
        deps.metrics.add_gauge("caller_keys", self._count_keys, "caller")

    async def handle(self, request: ClientRequest, reply: Reply) -> None:
        configuration = self.configuration
        metadata = self._deps.dialect.read_request(request.headers)
        if self._deps.timer.now() >= self.reject_from_s:
            await self._reject(reply, metadata, "this gateway is stopping", STOPPING_RETRY_S)
            return
        if configuration is None:
            await self._reject(reply, metadata, "no configuration is known yet", RETRY_AFTER_S)
            return
        if not self._read_delays.note_read(request.unread_s, self._deps.timer.now()):
            await self._reject(
                reply, metadata, SHORTAGE, READ_DELAY_RETRY_S, unread_s=request.unread_s
            )
            return
        route = configuration.table.find(request.host, request.path)
        if route is None and not self.is_configuration_fresh:
            await self._reject(reply, metadata, "the routes may have changed", RETRY_AFTER_S)
            return
        if route is None:
            await self._reject(reply, metadata, "no route", None, STATUS_NOT_FOUND)
            return
        caller = _find_caller(configuration, route, metadata)
        if caller is None and _needs_key(configuration, route):
            await self._reject_key(reply, metadata, configuration.callers)
            return
        forwarded_request = ForwardedRequest(
            self._deps,
            self.gateway_count,
            configuration,
            self.get_ages(),
            route,
            caller,
            request,
            metadata,
            reply,
        )
        with forwarded_request.scope:
            self._scopes.add(forwarded_request.scope)
            try:
                await forwarded_request.run()
            finally:
                self._scopes.discard(forwarded_request.scope)
        await forwarded_request.finish()

    def get_body_timeout_s(self, request: ClientRequest) -> float:
        """:return: the time that the client and the route leave for the request"""
        caller_timeout_s = self._deps.dialect.read_request(request.headers).caller_timeout_s
        timeout_s = inf if caller_timeout_s is None else caller_timeout_s
        if self.configuration is None:
            return timeout_s
        route = self.configuration.table.find(request.host, request.path)
        return timeout_s if route is None else min(timeout_s, route.timeout_s)

    def find_shortage(self, unread_s: float) -> str:
        is_late = self._read_delays.is_late(self._deps.timer.now())
        return SHORTAGE if is_late and unread_s > READ_DELAY_TARGET_S else ""

    def note_early_rejection(self, headers: Headers, reason: str, unread_s: float) -> Headers:
        metadata = self._deps.dialect.read_request(headers)
        self._read_delays.note_read(unread_s, self._deps.timer.now())
        self._note_rejection(metadata, STATUS_UNAVAILABLE, reason, unread_s)
        return self._deps.dialect.write_rejection(metadata.attempt_id, READ_DELAY_RETRY_S)

    def write_rejection(self, headers: Headers, retry_after_s: float) -> Headers:
        dialect = self._deps.dialect
        return dialect.write_rejection(dialect.read_request(headers).attempt_id, retry_after_s)

    def cancel_all(self) -> None:
        """Cancel all requests in progress; each sends its final answer."""
        for scope in self._scopes:
            scope.cancel()

    def _count_keys(self) -> dict[str, int]:
        """:return: number of keys of each caller"""
        if self.configuration is None or self.configuration.callers is None:
            return {}
        callers = self.configuration.callers.callers_by_name
        return {name: len(each.key_hashes) for name, each in callers.items()}

    async def _reject_key(
        self, reply: Reply, metadata: RequestMetadata, callers: CallerTable
    ) -> None:
        """Reject a request without a known key."""
        fault = callers.describe_fault(metadata.authorization)
        if not self.is_configuration_fresh:
            reason = f"{fault}, but the keys may have changed"
            await self._reject(reply, metadata, reason, RETRY_AFTER_S)
            return
        await self._reject(reply, metadata, fault, None, STATUS_UNAUTHORIZED)

    async def _reject(
        self,
        reply: Reply,
        metadata: RequestMetadata,
        reason: str,
        retry_after_s: float | None,
        status: int = STATUS_UNAVAILABLE,
        unread_s: float = 0.0,
    ) -> None:
        self._note_rejection(metadata, status, reason, unread_s)
        headers = self._deps.dialect.write_rejection(metadata.attempt_id, retry_after_s)
        if status == STATUS_UNAUTHORIZED:
            headers.append(CHALLENGE)
        await reply.reject(status, reason, headers)

    def _note_rejection(
        self, metadata: RequestMetadata, status: int, reason: str, unread_s: float
    ) -> None:
        """Count and log a rejection."""
        ages = self.get_ages()
        version = 0 if self.configuration is None else self.configuration.version
        record = RefusalRecord(
            metadata.attempt_id,
            status,
            reason,
            version,
            ages.version_ms,
            ages.list_ms,
            round(unread_s * 1000),
        )
        if status in (STATUS_UNAUTHORIZED, STATUS_NOT_FOUND) or unread_s:
            # Anyone can send such requests, or many come at a time: they must not crowd out other
            # lines.
            self._deps.sampler.log(_LOGGER, "request refused", record)
        else:
            log_record(_LOGGER, "request refused", record)
        self._deps.metrics.count_decision("", "refuse", reason)


def _needs_key(configuration: Configuration, route: Route) -> bool:
    return configuration.callers is not None and not route.is_public


def _find_caller(
    configuration: Configuration, route: Route, metadata: RequestMetadata
) -> Caller | None:
    """:return: the caller whose key the request carries, or None if it needs or has none"""
    if not _needs_key(configuration, route):
        return None
    return configuration.callers.find(metadata.authorization)

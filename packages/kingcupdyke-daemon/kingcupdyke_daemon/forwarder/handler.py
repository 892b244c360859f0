"""
kingcupdyke_daemon.forwarder.handler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes clients' requests, finds their routes, and refuses what can't be begun.
"""

import logging
from collections.abc import Callable

from anyio import CancelScope

from kingcupdyke.forwarding.configuration import Configuration
from kingcupdyke.forwarding.dispatcher import STOPPING_RETRY_S
from kingcupdyke.forwarding.metadata import RequestMetadata
from kingcupdyke_daemon.forwarder.dependencies import ForwarderDependencies
from kingcupdyke_daemon.forwarder.forwardedrequest import (
    RETRY_AFTER_S,
    STATUS_UNAVAILABLE,
    ForwardedRequest,
)
from kingcupdyke_daemon.forwarder.reply import ClientRequest, Reply, RequestHandler
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import DataAges, RefusalRecord

__all__ = ["ExchangeHandler"]

_LOGGER = logging.getLogger(__name__)
STATUS_NOT_FOUND = 404


class ExchangeHandler(RequestHandler):
    """Answers clients' requests by the routes in force.

    :param parts: what exchanges work with
    :param get_ages: tells how old what decisions rest on is
    """

    def __init__(
        self,
        parts: ForwarderDependencies,
        get_ages: Callable[[], DataAges] = lambda: DataAges(0, 0),
    ) -> None:
        self._parts = parts
        self.get_ages = get_ages
        self.configuration: Configuration | None = None
        #: Whether the configuration was lately confirmed by the store.
        self.is_confirmed = True
        #: Gateways that share the budget of repeats.
        self.gateways = 1
        #: Whether the process ends too soon for further requests.
        self.is_refusing = False
        self._scopes: set[CancelScope] = set()

    async def handle(self, request: ClientRequest, reply: Reply) -> None:
        configuration = self.configuration
        terms = self._parts.dialect.read_request(request.headers)
        if self.is_refusing:
            await self._refuse(reply, terms, "this gateway is stopping", STOPPING_RETRY_S)
            return
        if configuration is None:
            await self._refuse(reply, terms, "no configuration is known yet", RETRY_AFTER_S)
            return
        route = configuration.table.find(request.host, request.path)
        if route is None and not self.is_confirmed:
            await self._refuse(reply, terms, "the routes may have changed", RETRY_AFTER_S)
            return
        if route is None:
            await self._refuse(reply, terms, "no route", None, STATUS_NOT_FOUND)
            return
        version = configuration.version
        exchange = ForwardedRequest(
            self._parts, self.gateways, version, self.get_ages(), route, request, terms, reply
        )
        with exchange.scope:
            self._scopes.add(exchange.scope)
            try:
                await exchange.run()
            finally:
                self._scopes.discard(exchange.scope)
        await exchange.finish()

    def end_all(self) -> None:
        """Give what is under way its final answer, as the process ends."""
        for scope in self._scopes:
            scope.cancel()

    async def _refuse(
        self,
        reply: Reply,
        terms: RequestMetadata,
        reason: str,
        retry_after_s: float | None,
        status: int = STATUS_UNAVAILABLE,
    ) -> None:
        ages = self.get_ages()
        version = 0 if self.configuration is None else self.configuration.version
        record = RefusalRecord(
            terms.attempt_id, status, reason, version, ages.version_ms, ages.list_ms
        )
        log_record(_LOGGER, "request refused", record)
        self._parts.metrics.count_decision("", "refuse", reason)
        headers = self._parts.dialect.write_refusal(terms.attempt_id, retry_after_s)
        await reply.refuse(status, reason, headers)

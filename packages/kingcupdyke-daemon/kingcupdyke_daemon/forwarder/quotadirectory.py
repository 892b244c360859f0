"""
kingcupdyke_daemon.forwarder.quotadirectory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the quotas of callers together with the other gateways.
"""

import logging
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from anyio import Event, get_cancelled_exc_class, move_on_after

from kingcupdyke.forwarding.callertable import CallerTable
from kingcupdyke.forwarding.quotagateway import (
    GRANT_TIMEOUT_S,
    Denied,
    Granted,
    QuotaGateway,
    QuotaTicket,
)
from kingcupdyke.forwarding.quotalimits import QuotaLimits
from kingcupdyke.forwarding.quotamessage import QuotaMessage
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import QuotaDeniedRecord, QuotaOwnerRecord

__all__ = ["QuotaDirectory", "QuotaMembers"]

_LOGGER = logging.getLogger(__name__)
#: Interval between updates of stocks, buckets and claims.
UPDATE_INTERVAL_S = 0.05
#: Interval between looks whether a waiting request has to be asked for again.
POLL_INTERVAL_S = 0.01
#: Time without a denial after which the next one of the caller is logged.
QUIET_S = 5.0


class QuotaMembers(NamedTuple):
    """The gateways that share the quotas."""

    #: Gateways that the store lists, this one included; empty if the list is not yet known.
    listed: Collection[str]
    #: Those that are live and not stopping.
    candidates: Collection[str]


class QuotaDirectory:
    """Charges requests to their callers' quotas.

    Without quotas it has no timer, sends nothing and grants everything.

    :param host: name of this host
    :param incarnation: identifies this start of the process
    :param limits: permitted excess over the quotas
    :param timer: the timer service
    :param get_members: returns the gateways
    :param send: sends a message to a peer; it may be lost
    """

    def __init__(
        self,
        host: str,
        incarnation: str,
        limits: QuotaLimits,
        timer: TimerService,
        get_members: Callable[[], QuotaMembers],
        send: Callable[[str, bytes], None],
    ) -> None:
        self._host = host
        self._timer = timer
        self._get_members = get_members
        self._post = send
        self._gateway = QuotaGateway(host, incarnation, limits, self._send, timer.now())
        self._is_active = False
        self._callers: tuple[str, ...] = ()
        self._owned: set[str] = set()
        #: Time of the last denial by caller.
        self._denied_s: dict[str, float] = {}
        self._last_sent: tuple[QuotaMessage, bytes] | None = None

    def configure(self, callers: CallerTable | None) -> None:
        """Set the quotas of a new configuration."""
        by_name = {} if callers is None else callers.callers_by_name
        specs = {name: each.quota for name, each in by_name.items() if each.quota is not None}
        self._callers = tuple(specs)
        if specs or self._is_active:
            self._gateway.configure(specs, self._timer.now())
        if specs and not self._is_active:
            self._timer.subscribe("quotas", UPDATE_INTERVAL_S, self._update)
        elif not specs:
            self._timer.unsubscribe("quotas")
        self._is_active = bool(specs)

    async def acquire(self, caller: str, cost: float) -> Granted | Denied:
        """Charge a request; this takes at most GRANT_TIMEOUT_S.

        :param caller: name of the caller
        :param cost: cost of the request in the unit of the caller's quota
        """
        if not self._is_active:
            return Granted()
        event = Event()
        ticket = self._gateway.request(caller, cost, self._timer.now(), lambda _: event.set())
        try:
            await self._wait(caller, ticket, event)
        except get_cancelled_exc_class():
            if isinstance(ticket.outcome, Granted):
                self.refund(caller, cost)
            else:
                self._gateway.give_up(caller, ticket)
            raise
        if ticket.outcome is None:
            self._gateway.give_up(caller, ticket)
        if isinstance(ticket.outcome, Denied):
            self._log_denial(caller, cost, ticket.outcome)
        return ticket.outcome

    def refund(self, caller: str, cost: float) -> None:
        """Give back the charge of a request that was refused or did not run."""
        self._gateway.refund(caller, cost, self._timer.now())

    def list_used(self) -> Mapping[str, float]:
        """:return: units a second that were lately charged here, by caller"""
        return self._gateway.list_used(self._timer.now())

    def receive(self, message: QuotaMessage) -> None:
        """Process a message of a peer."""
        if self._is_active:
            self._gateway.receive(message, self._timer.now())

    async def _wait(self, caller: str, ticket: QuotaTicket, event: Event) -> None:
        deadline_s = self._timer.now() + GRANT_TIMEOUT_S
        while ticket.outcome is None:
            remaining_s = deadline_s - self._timer.now()
            if remaining_s <= 0:
                return
            with move_on_after(min(POLL_INTERVAL_S, remaining_s)):
                await event.wait()
            if ticket.outcome is None:
                self._gateway.poll(caller, self._timer.now())

    def _update(self, now_s: float) -> None:
        self._gateway.set_gateways(*self._get_members())
        self._gateway.update(now_s)
        owned = {each for each in self._callers if self._gateway.election.get_share(each, now_s)}
        for caller in sorted(owned ^ self._owned):
            state = "owner" if caller in owned else "not owner"
            log_record(_LOGGER, "owner of quota changed", QuotaOwnerRecord(caller, state))
        self._owned = owned

    def _send(self, host: str, message: QuotaMessage) -> None:
        # A claim goes to all gateways and is encoded once.
        if self._last_sent is None or self._last_sent[0] is not message:
            self._last_sent = (message, message.encode())
        self._post(host, self._last_sent[1])

    def _log_denial(self, caller: str, cost: float, denied: Denied) -> None:
        now_s = self._timer.now()
        last_s = self._denied_s.get(caller)
        self._denied_s[caller] = now_s
        if last_s is not None and now_s - last_s < QUIET_S:
            return
        owner = self._gateway.election.find_owner(caller, now_s) or ""
        record = QuotaDeniedRecord(
            caller, cost, round(denied.retry_after_s, 3), denied.is_known, owner
        )
        log_record(_LOGGER, "quota denied", record)

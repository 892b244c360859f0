"""
kingcupdyke_daemon.forwarder.crashdirectory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds out whether a lost request's endpoint has crashed, and tells the other gateways.
"""

import logging
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from anyio import aclose_forcefully, connect_tcp, move_on_after, sleep
from anyio.abc import TaskGroup

from kingcupdyke.forwarding.crashreport import (
    CrashMessage,
    CrashReport,
    RequestCrash,
    SoundRequest,
)
from kingcupdyke.forwarding.crashtable import CrashSignature, CrashTable
from kingcupdyke.forwarding.endpoint import EndpointEntry
from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.requestcrashtable import RequestCrashTable
from kingcupdyke.forwarding.workitem import WorkItem
from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.peerbroadcast import PeerBroadcast
from kingcupdyke_daemon.logs import log_record
from kingcupdyke_daemon.records import CrashRecord, CrashSignatureRecord, RequestCrashRecord

__all__ = ["CrashDirectory"]

_LOGGER = logging.getLogger(__name__)
#: Time after which an endpoint whose connection broke is connected to, as a process that ends may
#: close its connections before it refuses new ones; and the timeout for that.
CONNECT_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 1.0
#: Time within which an endpoint that accepts connections must be listed with a later start to count
#: as crashed, and interval between looks at the list.
RESTART_TIMEOUT_S = 3.0
RESTART_POLL_INTERVAL_S = 0.25
#: Interval between clean-ups of expired reports.
CLEANUP_INTERVAL_S = 1.0
#: Limit of reports in one message, so that it fits in a datagram.
MAX_MESSAGE_REPORTS = 32


class _LostRequest(NamedTuple):
    """A request whose connection to its endpoint broke."""

    item: WorkItem
    is_beginning: bool
    sent_s: float
    lost_s: float


class CrashDirectory:
    """Records crashes of endpoints here and at peers.

    :param host: name of this host
    :param table: the crashes under prompts that are known here
    :param request_table: the crashes under requests that are known here
    :param endpoint_table: the endpoints
    :param timer: the timer service
    :param tasks: task group of the checks whether an endpoint has crashed
    :param list_peers: returns the incarnations of the live peers by host
    :param send: sends a message to a peer; it may be lost
    """

    def __init__(
        self,
        host: str,
        table: CrashTable,
        request_table: RequestCrashTable,
        endpoint_table: EndpointTable,
        timer: TimerService,
        tasks: TaskGroup,
        list_peers: Callable[[], Mapping[str, str]],
        send: Callable[[str, bytes], None],
    ) -> None:
        self._host = host
        self._table = table
        self._request_table = request_table
        self._endpoint_table = endpoint_table
        self._timer = timer
        self._tasks = tasks
        #: Lost requests by endpoint and start of its process, until it is known whether it crashed.
        self._lost_by_process: dict[tuple[str, int], list[_LostRequest]] = {}
        self._signatures: tuple[CrashSignature, ...] = ()
        self._broadcast = PeerBroadcast("crash", host, timer, list_peers, send, self._encode_all)
        timer.subscribe("crash clean-up", CLEANUP_INTERVAL_S, self._drop_expired)

    def note_sound(self, item: WorkItem) -> None:
        """Record that an endpoint writes an answer to a request without crashing."""
        now_s = self._timer.now()
        if self._request_table.note_sound(item.fingerprint, now_s):
            sound_request = SoundRequest(item.fingerprint, 0.0)
            message = CrashMessage(self._host, (), (), (), (sound_request,))
            self._broadcast.post(_encode(message), is_resent=False)
        parts = item.part_ids
        if self._table.note_sound(parts, now_s):
            known = self._table.make_message(self._host, now_s)
            sound = tuple(each for each in known.sound_parts if each.part in parts)
            message = CrashMessage(self._host, (), sound)
            self._broadcast.post(_encode(message), is_resent=False)
            self._log_signatures()

    def note_lost(
        self, entry: EndpointEntry, item: WorkItem, is_beginning: bool, sent_s: float
    ) -> None:
        """Record that a request's connection broke before or at the beginning of its answer.

        :param entry: the endpoint's entry when the request was sent
        :param is_beginning: whether the head of the answer had been received
        :param sent_s: time in seconds at which the request was sent
        """
        state = self._endpoint_table.state_by_id.get(entry.endpoint)
        if state is None or state.entry.is_leaving:
            return
        lost = _LostRequest(item, is_beginning, sent_s, self._timer.now())
        process = (entry.endpoint, entry.started_ms)
        if process in self._lost_by_process:
            self._lost_by_process[process].append(lost)
            return
        self._lost_by_process[process] = [lost]
        self._tasks.start_soon(self._check, entry)

    def receive(self, message: CrashMessage) -> None:
        """Process a message of a peer."""
        now_s = self._timer.now()
        for crash in message.request_crashes:
            if self._request_table.record(crash, now_s):
                self._log_rejected(crash.request)
        for each in message.sound_requests:
            self._request_table.note_sound(each.request, now_s, each.age_s)
        if self._table.merge(message, self._timer.now()):
            self._log_signatures()

    async def _check(self, entry: EndpointEntry) -> None:
        process = (entry.endpoint, entry.started_ms)
        has_crashed = False
        try:
            await sleep(CONNECT_DELAY_S)
            has_crashed = await _refuses_connections(entry.address) or await self._restarts(entry)
        finally:
            lost = self._lost_by_process.pop(process)
        if has_crashed:
            self._record(process, lost)

    async def _restarts(self, entry: EndpointEntry) -> bool:
        """:return: whether an endpoint is listed with a later start within RESTART_TIMEOUT_S"""
        with move_on_after(RESTART_TIMEOUT_S):
            while True:
                state = self._endpoint_table.state_by_id.get(entry.endpoint)
                if state is not None and state.entry.started_ms > entry.started_ms:
                    return True
                await sleep(RESTART_POLL_INTERVAL_S)
        return False

    def _record(self, process: tuple[str, int], lost: list[_LostRequest]) -> None:
        now_s = self._timer.now()
        reports = tuple(
            CrashReport(*process, each.item.part_ids, each.is_beginning, now_s - each.lost_s)
            for each in lost
        )
        new = tuple(each for each in reports if self._table.record(each, now_s))
        for each in lost:
            record = CrashRecord(
                *process, each.item.part_ids, each.item.fingerprint, each.is_beginning
            )
            log_record(_LOGGER, "endpoint crashed under request", record)
        crashes = tuple(self._record_request(process, each, now_s) for each in lost)
        self._broadcast.post(_encode(CrashMessage(self._host, new, (), crashes)))
        self._log_signatures()

    def _record_request(
        self, process: tuple[str, int], lost: _LostRequest, now_s: float
    ) -> RequestCrash:
        request = lost.item.fingerprint
        run_s, age_s = lost.lost_s - lost.sent_s, now_s - lost.lost_s
        crash = RequestCrash(request, *process, round(run_s, 3), round(age_s, 3))
        if self._request_table.record(crash, now_s):
            self._log_rejected(request)
        return crash

    def _log_rejected(self, request: str) -> None:
        expires_s = self._request_table.find_expiry(request, self._timer.now())
        if expires_s is not None:
            record = RequestCrashRecord(request)
            log_record(_LOGGER, "request crashes endpoints", record, logging.WARNING)

    def _drop_expired(self, now_s: float) -> None:
        self._table.drop_expired(now_s)
        self._request_table.drop_expired(now_s)
        self._log_signatures()

    def _encode_all(self, now_s: float) -> Iterator[bytes]:
        if self._table.is_empty and self._request_table.is_empty:
            return
        message = self._table.make_message(self._host, now_s)
        yield from _encode(
            message._replace(
                request_crashes=tuple(self._request_table.list_crashes(now_s)),
                sound_requests=tuple(self._request_table.list_sound(now_s)),
            )
        )

    def _log_signatures(self) -> None:
        known = {each.parts for each in self._signatures}
        self._signatures = self._table.signatures
        for each in self._signatures:
            if each.parts not in known:
                record = CrashSignatureRecord(tuple(sorted(each.parts)), each.crashes)
                log_record(_LOGGER, "prompts crash endpoints", record, logging.WARNING)


async def _refuses_connections(address: tuple[str, int]) -> bool:
    """:return: whether no process listens at an address of a host that answers"""
    try:
        with move_on_after(CONNECT_TIMEOUT_S):
            await aclose_forcefully(await connect_tcp(*address))
    except OSError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    return False


def _encode(message: CrashMessage) -> Iterator[bytes]:
    """:return: the message as datagrams; merging them in any order gives the same"""
    length = max(len(message.reports), len(message.request_crashes), len(message.sound_requests))
    for start in range(0, max(1, length), MAX_MESSAGE_REPORTS):
        end = start + MAX_MESSAGE_REPORTS
        part = message._replace(
            reports=message.reports[start:end],
            request_crashes=message.request_crashes[start:end],
            sound_requests=message.sound_requests[start:end],
        )
        yield part.encode()

"""
kingcupdyke.membership
~~~~~~~~~~~~~~~~~~~~~~

Table of the known hosts: which exist, which are responsive and which are leaving.
"""

from collections.abc import Iterable
from typing import NamedTuple

from kingcupdyke.dissemination import choose_push_targets, choose_watchers, pick_peers
from kingcupdyke.host import Host

__all__ = [
    "LeaveNotice",
    "MembershipTable",
    "choose_push_targets",
    "choose_watchers",
    "pick_peers",
]

#: Consecutive host lists without a host after which an unresponsive host is removed.
MAX_MISSED_LISTS = 3
#: Seconds for which a notice is forwarded to peers.
NOTICE_LIFETIME_S = 600.0
#: Maximum number of notices per message, which limits the traffic of a mass restart.
MAX_NOTICES_PER_MESSAGE = 64
#: Seconds after which answers of a seemingly older incarnation are accepted. A host whose clock was
#: set back between two starts looks older than before; delayed answers and notices of a process
#: that has ended do not arrive for as long as this.
OLDER_INCARNATION_DELAY_S = 2 * NOTICE_LIFETIME_S


class LeaveNotice(NamedTuple):
    """A host's own notice of whether it is leaving.

    Incarnations of one host compare as strings in the order of their starts; within
    one incarnation, the sequence increases with each notice.
    """

    host: str
    incarnation: str
    sequence: int
    leaving: bool


class _ReceivedNotice(NamedTuple):
    notice: LeaveNotice
    received_s: float
    #: Whether the notice is forwarded to peers.
    is_forwarded: bool


class _Contact:
    """State of a host as shown by this process's own requests to it."""

    def __init__(self, now_s: float) -> None:
        self.last_answer_s = now_s
        self.is_unresponsive = False
        #: Whether its last answer said that it is leaving.
        self.leaving = False


class MembershipTable:
    """Combines the host list, leave notices and the answers to this process's own requests.

    The list may be out of date, so a host that it lacks is kept while it answers. A host that is
    leaving according to any of the sources receives no new requests.

    :param silence_s: seconds without an answer after which a host counts as unresponsive
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._now_s = 0.0
        self._hosts_by_name: dict[str, Host] = {}
        self._missed_by_name: dict[str, int] = {}
        self._contacts_by_name: dict[str, _Contact] = {}
        self._received_by_name: dict[str, _ReceivedNotice] = {}
        #: Incarnation that looks older than the known one, and when it first answered, by host.
        self._suspect_by_name: dict[str, tuple[str, float]] = {}
        #: Index of the first notice of the next message, when they do not fit in one.
        self._notice_offset = 0
        #: Cached lists of routable hosts by kind, cleared with each change.
        self._routable_by_kind: dict[str | None, tuple[Host, ...]] = {}

    def update_list(self, hosts: Iterable[Host], now_s: float) -> None:
        """Update the table from the platform's host list.

        An empty list is assumed to be an error of the platform and ignored.

        :param hosts: all entries of the list
        :param now_s: time in seconds of the timer service
        """
        self._advance(now_s)
        listed_by_name = {host.host: host for host in hosts}
        if not listed_by_name:
            return
        self._routable_by_kind.clear()
        self._hosts_by_name |= listed_by_name
        for name in list(self._hosts_by_name):
            missed = 0 if name in listed_by_name else self._missed_by_name.get(name, 0) + 1
            self._missed_by_name[name] = missed
            if missed >= MAX_MISSED_LISTS and not self._has_answered_recently(name):
                self._forget(name)
        self._drop_old_notices()

    def record_notice(
        self, host: str, incarnation: str, sequence: int, leaving: bool, now_s: float
    ) -> bool:
        """Process a leave notice, received from the host or forwarded by a peer.

        :return: whether the notice is new; a new one is forwarded to peers
        """
        self._advance(now_s)
        known = self._find_notice(host)
        if known is not None:
            if (incarnation, sequence) <= (known.incarnation, known.sequence):
                return False
            if incarnation > known.incarnation:
                self._contacts_by_name.pop(host, None)
        self._store_notice(LeaveNotice(host, incarnation, sequence, leaving), True)
        return True

    def record_answer(
        self, host: str, incarnation: str, now_s: float, leaving: bool = False
    ) -> None:
        """Process an answer of the host itself; one of an older incarnation is ignored.

        :param leaving: whether the host reports in the answer that it is leaving
        """
        self._advance(now_s)
        known = self._find_notice(host)
        if known is not None and incarnation < known.incarnation:
            if not self._accept_older_incarnation(host, incarnation):
                return
        else:
            self._suspect_by_name.pop(host, None)
        if known is None or incarnation != known.incarnation:
            # A new process answers, so the notice of the previous one no longer applies.
            returned = known is not None and known.leaving
            self._store_notice(LeaveNotice(host, incarnation, 0, False), returned)
        contact = self._contacts_by_name.setdefault(host, _Contact(now_s))
        if contact.is_unresponsive or contact.leaving != leaving:
            self._routable_by_kind.clear()
        contact.last_answer_s = max(contact.last_answer_s, now_s)
        contact.is_unresponsive = False
        contact.leaving = leaving

    def record_missing_answer(self, host: str, now_s: float) -> None:
        """Record that a request or heartbeat has not been answered so far."""
        self._advance(now_s)
        contact = self._contacts_by_name.setdefault(host, _Contact(now_s))
        if not contact.is_unresponsive and now_s - contact.last_answer_s >= self._silence_s:
            contact.is_unresponsive = True
            self._routable_by_kind.clear()

    def known(self, kind: str | None = None) -> list[Host]:
        """:return: all hosts, including leaving and unresponsive ones, sorted by name"""
        hosts = sorted(self._hosts_by_name.items())
        return [host for _, host in hosts if kind in (None, host.kind)]

    def find(self, name: str) -> Host | None:
        """:return: the host with a name, or None if it is not known"""
        return self._hosts_by_name.get(name)

    def routable(self, kind: str | None = None) -> tuple[Host, ...]:
        """:return: hosts that may receive new requests, sorted by name"""
        hosts = self._routable_by_kind.get(kind)
        if hosts is None:
            hosts = tuple(
                host
                for host in self.known(kind)
                if not self.is_leaving(host.host) and not self._is_unresponsive(host.host)
            )
            self._routable_by_kind[kind] = hosts
        return hosts

    def is_leaving(self, host: str) -> bool:
        """:return: whether the list, the host's last notice or its last answer says so"""
        listed = self._hosts_by_name.get(host)
        notice = self._find_notice(host)
        contact = self._contacts_by_name.get(host)
        return (
            (listed is not None and listed.state == "leaving")
            or (notice is not None and notice.leaving)
            or (contact is not None and contact.leaving)
        )

    def recent_notices(self) -> tuple[LeaveNotice, ...]:
        """:return: recent notices to forward; if there are too many, the next part of them"""
        recent = [
            received.notice
            for received in self._received_by_name.values()
            if received.is_forwarded and self._now_s - received.received_s <= NOTICE_LIFETIME_S
        ]
        if len(recent) <= MAX_NOTICES_PER_MESSAGE:
            return tuple(recent)
        first = self._notice_offset % len(recent)
        self._notice_offset = first + MAX_NOTICES_PER_MESSAGE
        return tuple((recent[first:] + recent[:first])[:MAX_NOTICES_PER_MESSAGE])

    def _advance(self, now_s: float) -> None:
        self._now_s = max(self._now_s, now_s)

    def _find_notice(self, name: str) -> LeaveNotice | None:
        received = self._received_by_name.get(name)
        return None if received is None else received.notice

    def _store_notice(self, notice: LeaveNotice, is_forwarded: bool) -> None:
        self._received_by_name[notice.host] = _ReceivedNotice(notice, self._now_s, is_forwarded)
        self._routable_by_kind.clear()

    def _accept_older_incarnation(self, name: str, incarnation: str) -> bool:
        suspect, first_s = self._suspect_by_name.setdefault(name, (incarnation, self._now_s))
        if suspect != incarnation:
            self._suspect_by_name[name] = (incarnation, self._now_s)
            return False
        if self._now_s - first_s < OLDER_INCARNATION_DELAY_S:
            return False
        del self._suspect_by_name[name]
        return True

    def _is_unresponsive(self, name: str) -> bool:
        contact = self._contacts_by_name.get(name)
        return contact is not None and contact.is_unresponsive

    def _has_answered_recently(self, name: str) -> bool:
        contact = self._contacts_by_name.get(name)
        return contact is not None and self._now_s - contact.last_answer_s < self._silence_s

    def _forget(self, name: str) -> None:
        del self._hosts_by_name[name]
        del self._missed_by_name[name]
        self._contacts_by_name.pop(name, None)
        self._suspect_by_name.pop(name, None)

    def _drop_old_notices(self) -> None:
        # Notices of listed hosts are kept, so that delayed older ones are recognised as such.
        for name, received in list(self._received_by_name.items()):
            if (
                name not in self._hosts_by_name
                and self._now_s - received.received_s > NOTICE_LIFETIME_S
            ):
                del self._received_by_name[name]

"""
kingcupdyke.membership
~~~~~~~~~~~~~~~~~~~~~~

Who exists, who answers and who is leaving.
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

#: A host is forgotten when so many list readings in a row did not name it.
MOST_MISSED_READINGS = 3
#: Seconds for which news is passed on to peers.
NEWS_LIFETIME_S = 600.0
#: Pieces of news that are passed on at once, so that a mass restart floods nobody.
MOST_NEWS = 64
#: A host whose clock went back between two starts looks older than it is. It is believed
#: when it still answers after so many seconds: no late answer, and no news, lasts as long.
CLOCK_DOUBT_S = 2 * NEWS_LIFETIME_S


class LeaveNotice(NamedTuple):
    """What a host said of itself.

    Incarnations of one host compare as strings in the order of their starts; within
    one, the sequence rises with each thing said.
    """

    host: str
    incarnation: str
    sequence: int
    leaving: bool


class _HeardNews(NamedTuple):
    news: LeaveNotice
    heard_s: float
    #: Whether peers may need it.
    passed_on: bool


class _Contact:
    """What own traffic tells of a host."""

    def __init__(self, now_s: float) -> None:
        self.last_answer_s = now_s
        self.silent = False
        #: What its last answer said.
        self.leaving = False


class MembershipTable:
    """Joins the lagging host list, the hosts' own news and own traffic.

    The list only proposes who exists. Leaving in either source stops new work.

    :param silence_s: seconds without an answer after which a host counts as silent
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._now_s = 0.0
        self._hosts_by_name: dict[str, Host] = {}
        self._missed_by_name: dict[str, int] = {}
        self._contacts_by_name: dict[str, _Contact] = {}
        self._heard_by_name: dict[str, _HeardNews] = {}
        #: Incarnation that looks too old and when it first answered, by host.
        self._doubted_by_name: dict[str, tuple[str, float]] = {}
        self._news_turn = 0
        #: Lists of routable hosts by kind, kept until something changes.
        self._routable_by_kind: dict[str | None, tuple[Host, ...]] = {}

    def update_list(self, hosts: Iterable[Host], now_s: float) -> None:
        """Take a reading of the platform's list.

        An empty reading is a fault of the list and changes nothing.

        :param hosts: all entries of the reading
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
            if missed >= MOST_MISSED_READINGS and not self._answers(name):
                self._forget(name)
        self._drop_old_news()

    def hear_leaving(
        self, host: str, incarnation: str, sequence: int, leaving: bool, now_s: float
    ) -> bool:
        """Take what a host said of itself, from the host or passed on by a peer.

        :return: whether it is news; news is passed on
        """
        self._advance(now_s)
        known = self._find_news(host)
        if known is not None:
            if (incarnation, sequence) <= (known.incarnation, known.sequence):
                return False
            if incarnation > known.incarnation:
                self._contacts_by_name.pop(host, None)
        self._keep_news(LeaveNotice(host, incarnation, sequence, leaving), True)
        return True

    def hear_answer(self, host: str, incarnation: str, now_s: float, leaving: bool = False) -> None:
        """Take an answer of the host itself; one of an older incarnation is ignored.

        :param leaving: whether the answer says that the host is leaving
        """
        self._advance(now_s)
        known = self._find_news(host)
        if known is not None and incarnation < known.incarnation:
            if not self._outlasts_doubt(host, incarnation):
                return
        else:
            self._doubted_by_name.pop(host, None)
        if known is None or incarnation != known.incarnation:
            # A new process answers, so what was said of the one before it is over.
            returned = known is not None and known.leaving
            self._keep_news(LeaveNotice(host, incarnation, 0, False), returned)
        contact = self._contacts_by_name.setdefault(host, _Contact(now_s))
        if contact.silent or contact.leaving != leaving:
            self._routable_by_kind.clear()
        contact.last_answer_s = max(contact.last_answer_s, now_s)
        contact.silent = False
        contact.leaving = leaving

    def hear_silence(self, host: str, now_s: float) -> None:
        """Note that a request or heartbeat got no answer by now."""
        self._advance(now_s)
        contact = self._contacts_by_name.setdefault(host, _Contact(now_s))
        if not contact.silent and now_s - contact.last_answer_s >= self._silence_s:
            contact.silent = True
            self._routable_by_kind.clear()

    def known(self, kind: str | None = None) -> list[Host]:
        """:return: hosts that exist, leaving and silent ones too, in order of their names"""
        hosts = sorted(self._hosts_by_name.items())
        return [host for _, host in hosts if kind in (None, host.kind)]

    def find(self, name: str) -> Host | None:
        """:return: the host of a name, or None where none is known"""
        return self._hosts_by_name.get(name)

    def routable(self, kind: str | None = None) -> tuple[Host, ...]:
        """:return: hosts that take new work, in order of their names"""
        hosts = self._routable_by_kind.get(kind)
        if hosts is None:
            hosts = tuple(
                host
                for host in self.known(kind)
                if not self.is_leaving(host.host) and not self._silent(host.host)
            )
            self._routable_by_kind[kind] = hosts
        return hosts

    def is_leaving(self, host: str) -> bool:
        """:return: whether the list, the host's news or its last answer says so"""
        listed = self._hosts_by_name.get(host)
        news = self._find_news(host)
        contact = self._contacts_by_name.get(host)
        return (
            (listed is not None and listed.state == "leaving")
            or (news is not None and news.leaving)
            or (contact is not None and contact.leaving)
        )

    def leaving_news(self) -> tuple[LeaveNotice, ...]:
        """:return: news young enough to be passed on; a part in turn where there is much"""
        young = [
            heard.news
            for heard in self._heard_by_name.values()
            if heard.passed_on and self._now_s - heard.heard_s <= NEWS_LIFETIME_S
        ]
        if len(young) <= MOST_NEWS:
            return tuple(young)
        first = self._news_turn % len(young)
        self._news_turn = first + MOST_NEWS
        return tuple((young[first:] + young[:first])[:MOST_NEWS])

    def _advance(self, now_s: float) -> None:
        self._now_s = max(self._now_s, now_s)

    def _find_news(self, name: str) -> LeaveNotice | None:
        heard = self._heard_by_name.get(name)
        return None if heard is None else heard.news

    def _keep_news(self, news: LeaveNotice, passed_on: bool) -> None:
        self._heard_by_name[news.host] = _HeardNews(news, self._now_s, passed_on)
        self._routable_by_kind.clear()

    def _outlasts_doubt(self, name: str, incarnation: str) -> bool:
        doubted, first_s = self._doubted_by_name.setdefault(name, (incarnation, self._now_s))
        if doubted != incarnation:
            self._doubted_by_name[name] = (incarnation, self._now_s)
            return False
        if self._now_s - first_s < CLOCK_DOUBT_S:
            return False
        del self._doubted_by_name[name]
        return True

    def _silent(self, name: str) -> bool:
        contact = self._contacts_by_name.get(name)
        return contact is not None and contact.silent

    def _answers(self, name: str) -> bool:
        contact = self._contacts_by_name.get(name)
        return contact is not None and self._now_s - contact.last_answer_s < self._silence_s

    def _forget(self, name: str) -> None:
        del self._hosts_by_name[name]
        del self._missed_by_name[name]
        self._contacts_by_name.pop(name, None)
        self._doubted_by_name.pop(name, None)

    def _drop_old_news(self) -> None:
        # News of listed hosts stays, so that a late repeat of older news finds it.
        for name, heard in list(self._heard_by_name.items()):
            if name not in self._hosts_by_name and self._now_s - heard.heard_s > NEWS_LIFETIME_S:
                del self._heard_by_name[name]

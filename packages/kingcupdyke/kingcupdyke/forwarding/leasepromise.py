"""
kingcupdyke.forwarding.leasepromise
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lets the holder of a lease go on while the store does not answer it, as long as all peers agree.

A gateway that hears the holder promises, with the number of the message that it heard, not to take
the lease for a while. A promise that all gateways renew proves that nobody has taken it since the
holder sent the oldest of those messages. Times are those of a clock that goes on while a host is
suspended.
"""

from collections import OrderedDict
from collections.abc import Iterable

from kingcupdyke.forwarding.peerstate import GatewayState, LeasePromise

__all__ = ["LeasePromises"]

#: Own messages whose times of sending are remembered.
MOST_SENT = 256


class LeasePromises:
    """Promises given and received by one gateway.

    :param host: name of this host
    :param promise_s: seconds for which a promise holds
    """

    def __init__(self, host: str, promise_s: float) -> None:
        self._host = host
        self._promise_s = promise_s
        self._sent_by_number: OrderedDict[int, float] = OrderedDict()
        #: Time of the own message that a peer heard last, by peer, and for which fence.
        self._proof_by_host: dict[str, tuple[int, float]] = {}
        #: The latest promise of each peer to another holder.
        self._seen_by_host: dict[str, LeasePromise] = {}
        self._given: LeasePromise | None = None
        self._promised_until_s = float("-inf")
        self._others_until_s = float("-inf")

    def note_sent(self, number: int, now_s: float) -> None:
        """An own message is being sent."""
        self._sent_by_number[number] = now_s
        if len(self._sent_by_number) > MOST_SENT:
            self._sent_by_number.popitem(last=False)

    def hear(self, state: GatewayState, incarnation: str, is_rival: bool, now_s: float) -> None:
        """Take a peer's message.

        :param incarnation: this process's own start
        :param is_rival: whether this gateway holds the lease, or may have written it
        """
        support = state.support
        if support is not None and (support.host, support.incarnation) == (self._host, incarnation):
            sent_s = self._sent_by_number.get(support.number)
            if sent_s is not None:
                self._proof_by_host[state.host] = (support.fence, sent_s)
        elif support is not None and self._is_new(state.host, support):
            # What is repeated was promised when it was first heard, at the latest.
            self._seen_by_host[state.host] = support
            self._others_until_s = max(self._others_until_s, now_s + self._promise_s)
        self._promise(state, is_rival, now_s)

    def get_given(self, now_s: float) -> LeasePromise | None:
        """:return: the promise that this gateway's messages carry, until it has run out"""
        return self._given if now_s < self._promised_until_s else None

    def may_take(self, now_s: float) -> bool:
        """:return: whether no own promise and no peer's stands against taking the lease"""
        return now_s >= max(self._promised_until_s, self._others_until_s)

    def proof_s(self, fence: int, hosts: Iterable[str]) -> float | None:
        """:return: the time at which the lease was still held, as all hosts prove; None if one
        does not
        """
        proofs = [self._proof_by_host.get(host) for host in hosts if host != self._host]
        if not proofs or any(each is None or each[0] != fence for each in proofs):
            return None
        return min(sent_s for _, sent_s in proofs)

    def _is_new(self, host: str, support: LeasePromise) -> bool:
        seen = self._seen_by_host.get(host)
        if seen is None or (seen.host, seen.incarnation) != (support.host, support.incarnation):
            return True
        return (support.fence, support.number) > (seen.fence, seen.number)

    def _promise(self, state: GatewayState, is_rival: bool, now_s: float) -> None:
        if is_rival:
            self._given = None
        elif state.fence and (self._given is None or state.fence >= self._given.fence):
            self._given = LeasePromise(state.host, state.incarnation, state.fence, state.number)
            self._promised_until_s = now_s + self._promise_s
        elif self._given is not None and self._given.host == state.host and not state.fence:
            # The holder has given the lease back or lost it.
            self._given = None
            self._promised_until_s = now_s

"""
kingcupdyke.forwarding.leasepromise
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lets the holder of a lease keep it while the store does not answer, as long as all peers agree.

A gateway that receives a message of the holder promises not to take the lease for a fixed time; the
promise contains the number of that message. Promises of all other gateways prove that none of them
has taken the lease since the holder sent the oldest of the messages that they name. Times are those
of a clock that does not stop while a host is suspended.
"""

from collections import OrderedDict
from collections.abc import Iterable

from kingcupdyke.forwarding.peerstate import GatewayState, LeasePromise
from kingcupdyke.storeera import find_fence_era

__all__ = ["LeasePromises"]

#: Limit of own messages whose sending times are remembered.
MAX_SENT_MESSAGES = 256


class LeasePromises:
    """Promises given and received by one gateway.

    :param host: name of this host
    :param promise_s: seconds for which a promise is valid
    """

    def __init__(self, host: str, promise_s: float) -> None:
        self._host = host
        self._promise_s = promise_s
        self._sent_s_by_number: OrderedDict[int, float] = OrderedDict()
        #: Last promise of each peer to this gateway: its fence, and the time at which the message
        #: that it names was sent.
        self._proof_by_host: dict[str, tuple[int, float]] = {}
        #: The latest promise of each peer to another holder.
        self._last_promise_by_host: dict[str, LeasePromise] = {}
        self._own_promise: LeasePromise | None = None
        self._own_expires_s = float("-inf")
        self._others_expire_s = float("-inf")

    def note_sent(self, number: int, now_s: float) -> None:
        """Record that an own message is being sent."""
        self._sent_s_by_number[number] = now_s
        if len(self._sent_s_by_number) > MAX_SENT_MESSAGES:
            self._sent_s_by_number.popitem(last=False)

    def receive(
        self, state: GatewayState, incarnation: str, is_rival: bool, now_s: float, era: int = 0
    ) -> None:
        """Process a message of a peer.

        :param incarnation: incarnation of this process
        :param is_rival: whether this gateway holds the lease, or may have written it
        :param era: the store's era as this gateway has seen it
        """
        promise = state.lease_promise
        if promise is not None and (promise.host, promise.incarnation) == (self._host, incarnation):
            sent_s = self._sent_s_by_number.get(promise.number)
            if sent_s is not None:
                self._proof_by_host[state.host] = (promise.fence, sent_s)
        elif promise is not None and self._is_new(state.host, promise):
            # A promise that is sent several times is valid from when it was first received, at the
            # latest.
            self._last_promise_by_host[state.host] = promise
            self._others_expire_s = max(self._others_expire_s, now_s + self._promise_s)
        if find_fence_era(state.fence) < era and state.fence:
            self._withhold(state)
        else:
            self._update_own_promise(state, is_rival, now_s)

    def get_own_promise(self, now_s: float) -> LeasePromise | None:
        """:return: the promise to send in this gateway's messages, or None if it has expired"""
        return self._own_promise if now_s < self._own_expires_s else None

    def may_take(self, now_s: float) -> bool:
        """:return: whether no valid promise, own or of a peer, forbids taking the lease"""
        return now_s >= max(self._own_expires_s, self._others_expire_s)

    def proof_s(self, fence: int, hosts: Iterable[str]) -> float | None:
        """:return: the latest time at which all hosts prove that the lease was held, or None if a
        host does not prove it
        """
        proofs = [self._proof_by_host.get(host) for host in hosts if host != self._host]
        if not proofs or any(each is None or each[0] != fence for each in proofs):
            return None
        return min(sent_s for _, sent_s in proofs)

    def _is_new(self, host: str, promise: LeasePromise) -> bool:
        known = self._last_promise_by_host.get(host)
        if known is None or (known.host, known.incarnation) != (promise.host, promise.incarnation):
            return True
        return (promise.fence, promise.number) > (known.fence, known.number)

    def _withhold(self, state: GatewayState) -> None:
        """Promise nothing more to a holder whose lease the store has lost.

        The last promise forbids taking the lease until it expires, as the holder may rely on it.
        """
        promise = self._own_promise
        if promise is not None and promise.host == state.host:
            self._own_promise = None

    def _update_own_promise(self, state: GatewayState, is_rival: bool, now_s: float) -> None:
        if is_rival:
            self._own_promise = None
        elif state.fence and (self._own_promise is None or state.fence >= self._own_promise.fence):
            self._own_promise = LeasePromise(
                state.host, state.incarnation, state.fence, state.number
            )
            self._own_expires_s = now_s + self._promise_s
        elif (
            self._own_promise is not None
            and self._own_promise.host == state.host
            and not state.fence
        ):
            # The holder has released the lease or lost it.
            self._own_promise = None
            self._own_expires_s = now_s

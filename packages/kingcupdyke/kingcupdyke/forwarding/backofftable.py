"""
kingcupdyke.forwarding.backofftable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Backoff that endpoints have requested from this gateway in their answers.

An endpoint that rejects a call may name the time for which it wants no further one from the gateway
that it answers. That holds until the time is over, whatever else is learned of the endpoint
meanwhile, such as answers to earlier requests. It concerns neither other gateways nor an endpoint
with another id at the same address.
"""

from collections.abc import Iterator

__all__ = ["BackoffTable"]


class BackoffTable:
    """The requested backoff of each endpoint, by its id."""

    def __init__(self) -> None:
        self._end_s_by_id: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """:return: whether no endpoint has requested backoff lately"""
        return not self._end_s_by_id

    def note(self, endpoint: str, seconds: float, now_s: float) -> bool:
        """Record that an endpoint has requested backoff; an earlier end changes nothing.

        :param seconds: time for which it wants no call, from now
        :return: whether it had requested none, or one that ends earlier
        """
        end_s = now_s + seconds
        if end_s <= max(now_s, self._end_s_by_id.get(endpoint, now_s)):
            return False
        self._end_s_by_id[endpoint] = end_s
        return True

    def find_delay(self, endpoint: str, now_s: float) -> float:
        """:return: seconds until an endpoint may be called"""
        return max(0.0, self._end_s_by_id.get(endpoint, now_s) - now_s)

    def drop_expired(self, now_s: float) -> None:
        """Forget the backoff that has ended."""
        for endpoint, end_s in list(self._end_s_by_id.items()):
            if now_s >= end_s:
                del self._end_s_by_id[endpoint]

    def list_delays(self, now_s: float) -> Iterator[tuple[str, float]]:
        """:return: endpoints that may not be called, and the seconds until they may be"""
        for endpoint, end_s in self._end_s_by_id.items():
            if now_s < end_s:
                yield endpoint, end_s - now_s

"""
kingcupdyke_standins.weights
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of the weight store.
"""

from anyio import current_time, sleep

from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp
from kingcupdyke_standins.rate import TokenBucket

__all__ = ["WeightsApp"]

#: Seconds between two looks at how many transfers share the store.
SLICE_S = 0.01


class WeightsApp(StandinApp):
    """Takes the time that transfers take.

    :param fetches_per_s: transfers that may begin in a second
    :param full_speed_fetches: transfers that run at once without slowing each other
    :param bytes_per_s: speed of one transfer
    """

    def __init__(self, fetches_per_s: float, full_speed_fetches: int, bytes_per_s: float) -> None:
        super().__init__("weights")
        self._starts = TokenBucket(fetches_per_s, max(1.0, fetches_per_s))
        self._full_speed_fetches = full_speed_fetches
        self._bytes_per_s = bytes_per_s
        self._running = 0
        #: Transfers that were begun, as they were asked for.
        self.fetches: list[dict] = []

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        match request.method, request.path:
            case "POST", ("v1", "fetches"):
                return await self._fetch(request, reply)
            case "GET", ("v1", "fetches"):
                return await reply.json(200, {"fetches": self.fetches})
        return await reply.whole(404)

    async def _fetch(self, request: HttpRequest, reply: Reply) -> None:
        if self.faults.value("down"):
            return await reply.whole(503)
        if not self._starts.take(current_time()):
            wait_s = self._starts.wait_s(current_time())
            return await reply.whole(429, headers={"retry-after": f"{wait_s:.3f}"})
        fetch = request.data()
        self.fetches.append(fetch)
        await self._transfer(fetch["bytes"])
        return await reply.json(200, {})

    async def _transfer(self, left_bytes: float) -> None:
        self._running += 1
        try:
            while left_bytes > 0:
                share = min(1.0, self._full_speed_fetches / self._running)
                speed = self._bytes_per_s * share
                slice_s = min(SLICE_S, left_bytes / speed)
                began_s = current_time()
                await sleep(slice_s)
                left_bytes -= (current_time() - began_s) * speed
        finally:
            self._running -= 1

"""
kingcupdyke_standins.weights
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in of the weight store.
"""

from anyio import current_time, sleep

from kingcupdyke_standins.asgi import HttpRequest, Reply, StandinApp
from kingcupdyke_standins.rate import TokenBucket

__all__ = ["WeightsApp"]

#: Interval at which a transfer adapts its speed to the number of concurrent transfers.
SPEED_UPDATE_INTERVAL_S = 0.01


class WeightsApp(StandinApp):
    """Simulates the duration of transfers and transfers no data.

    :param fetches_per_s: limit of the transfers that start per second
    :param full_speed_fetches: concurrent transfers that run at full speed; more share their
        throughput
    :param bytes_per_s: full speed of one transfer
    """

    def __init__(self, fetches_per_s: float, full_speed_fetches: int, bytes_per_s: float) -> None:
        super().__init__("weights")
        self._start_limit = TokenBucket(fetches_per_s, max(1.0, fetches_per_s))
        self._full_speed_fetches = full_speed_fetches
        self._bytes_per_s = bytes_per_s
        self._running_transfers = 0
        #: Request bodies of the transfers that were started.
        self.fetches: list[dict] = []

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        match request.method, request.path:
            case "POST", ("v1", "fetches"):
                return await self._fetch(request, reply)
            case "GET", ("v1", "fetches"):
                return await reply.json(200, {"fetches": self.fetches})
        return await reply.send_response(404)

    async def _fetch(self, request: HttpRequest, reply: Reply) -> None:
        if self.faults.value("down"):
            return await reply.send_response(503)
        if not self._start_limit.take(current_time()):
            wait_s = self._start_limit.wait_s(current_time())
            return await reply.send_response(429, headers={"retry-after": f"{wait_s:.3f}"})
        fetch = request.data()
        self.fetches.append(fetch)
        await self._transfer(fetch["bytes"])
        return await reply.json(200, {})

    async def _transfer(self, remaining_bytes: float) -> None:
        self._running_transfers += 1
        try:
            while remaining_bytes > 0:
                share = min(1.0, self._full_speed_fetches / self._running_transfers)
                speed = self._bytes_per_s * share
                interval_s = min(SPEED_UPDATE_INTERVAL_S, remaining_bytes / speed)
                started_s = current_time()
                await sleep(interval_s)
                remaining_bytes -= (current_time() - started_s) * speed
        finally:
            self._running_transfers -= 1

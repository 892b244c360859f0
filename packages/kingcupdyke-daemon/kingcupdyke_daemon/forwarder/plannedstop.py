"""
kingcupdyke_daemon.forwarder.plannedstop
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The planned stop of a forwarding gateway, which interrupts nothing that can end in time.
"""

import logging

from anyio import Event, move_on_after, sleep
from anyio.abc import SocketListener, TaskGroup

from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.forwarder.clientserver import ClientServer
from kingcupdyke_daemon.forwarder.handler import ForwardingHandler
from kingcupdyke_daemon.forwarder.plannerrunner import PlannerRunner

__all__ = ["ANSWER_GRACE_FRACTION", "SEND_GRACE_FRACTION", "PlannedStop"]

_LOGGER = logging.getLogger(__name__)
#: Time for which requests are still accepted after a planned stop began, if the grace period allows
#: it: the load balancer checks once a second and stops sending after two failed checks.
ACCEPT_S = 2.6
#: Time for which requests are rejected after that, before the process may end.
REJECT_S = 0.6
#: Fractions of the grace period after which no request is sent to an endpoint any more, and after
#: which requests in progress get a final answer or are cut off.
SEND_GRACE_FRACTION = 0.55
ANSWER_GRACE_FRACTION = 0.9
#: Fraction after which those final answers must have been written.
WRITE_GRACE_FRACTION = 0.97
#: Interval between looks whether requests have ended or the store is available again.
POLL_INTERVAL_S = 0.025
#: Timeout for releasing the lease.
LEASE_RELEASE_TIMEOUT_S = 0.5


class PlannedStop:
    """Ends the requests in progress and hands the planner's lease over.

    :param client_server: serves the clients
    :param request_handler: handles their requests
    :param planner_runner: holds the planner's lease, or contends for it
    :param timer: the timer service
    :param tasks: runs the hand-over of the lease
    """

    def __init__(
        self,
        client_server: ClientServer,
        request_handler: ForwardingHandler,
        planner_runner: PlannerRunner,
        timer: TimerService,
        tasks: TaskGroup,
    ) -> None:
        self._client_server = client_server
        self._request_handler = request_handler
        self._planner_runner = planner_runner
        self._timer = timer
        self._tasks = tasks

    async def run(self, client_listener: SocketListener, grace_s: float) -> None:
        """Stop accepting requests, and wait for those in progress.

        :param grace_s: seconds after which the process is killed
        """
        started_s = self._timer.now()
        self._client_server.begin_stop()
        end_s = started_s + grace_s * ANSWER_GRACE_FRACTION
        handed_over = Event()
        self._tasks.start_soon(self._hand_over, end_s, handed_over)
        accept_s = min(ACCEPT_S, grace_s * ANSWER_GRACE_FRACTION - REJECT_S)
        # The time counts, not the end of the wait, which comes late when the process stands still.
        self._request_handler.reject_from_s = started_s + accept_s
        await sleep(max(0.0, started_s + accept_s - self._timer.now()))
        await self._client_server.close_idle()
        await sleep(REJECT_S)
        await client_listener.aclose()
        await self._client_server.close_idle()
        while self._client_server.in_progress and self._timer.now() < end_s:
            await sleep(POLL_INTERVAL_S)
        written_s = started_s + grace_s * WRITE_GRACE_FRACTION
        if self._client_server.in_progress:
            self._request_handler.cancel_all()
            while self._client_server.in_progress and self._timer.now() < written_s:
                await sleep(POLL_INTERVAL_S)
        with move_on_after(max(0.0, written_s - self._timer.now())):
            await handed_over.wait()
        _LOGGER.warning("stopped with %d requests in progress", self._client_server.in_progress)

    async def _hand_over(self, end_s: float, handed_over: Event) -> None:
        """Release the planner's lease. While the store is unavailable no other gateway could take
        the lease, so this gateway keeps planning until the store is back or the process must end.
        """
        while self._planner_runner.is_store_unavailable and self._timer.now() < end_s:
            await sleep(POLL_INTERVAL_S)
        try:
            with move_on_after(LEASE_RELEASE_TIMEOUT_S):
                await self._planner_runner.release_lease()
        finally:
            handed_over.set()

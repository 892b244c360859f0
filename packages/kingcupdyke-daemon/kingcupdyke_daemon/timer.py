"""
kingcupdyke_daemon.timer
~~~~~~~~~~~~~~~~~~~~~~~~

The timer service on the event loop.
"""

from asyncio import get_running_loop
from collections.abc import Callable

from anyio import CancelScope, sleep_until
from anyio.abc import TaskGroup

from kingcupdyke.timer import TimerService
from kingcupdyke_daemon.taskerrors import TaskErrors

__all__ = ["LoopTimer"]


class LoopTimer(TimerService):
    """Calls subscribers from tasks of a task group.

    Calls are due at multiples of their periods since the start, so that the process wakes up once
    for all subscriptions that are due at a time.

    An error of a subscriber is logged, and it is called again after its next period.

    :param tasks: the task group that runs the subscriptions
    :param errors: logs and counts errors of subscribers
    """

    def __init__(self, tasks: TaskGroup, errors: TaskErrors | None = None) -> None:
        self._tasks = tasks
        self._errors = errors or TaskErrors()
        self._loop = get_running_loop()
        self._started_s = self._loop.time()
        self._scopes_by_name: dict[str, CancelScope] = {}

    def now(self) -> float:
        return self._loop.time()

    def subscribe(self, name: str, period_s: float, callback: Callable[[float], None]) -> None:
        self.unsubscribe(name)
        scope = CancelScope()
        self._scopes_by_name[name] = scope
        self._tasks.start_soon(self._run, name, scope, period_s, callback)

    def list_names(self) -> list[str]:
        """:return: names of the subscriptions"""
        return list(self._scopes_by_name)

    def unsubscribe(self, name: str) -> None:
        scope = self._scopes_by_name.pop(name, None)
        if scope is not None:
            scope.cancel()

    async def _run(
        self, name: str, scope: CancelScope, period_s: float, callback: Callable[[float], None]
    ) -> None:
        periods = 0
        with scope:
            while True:
                # A call may come a little before it is due.
                periods = max(periods, int((self.now() - self._started_s) / period_s)) + 1
                await sleep_until(self._started_s + periods * period_s)
                with self._errors.contain(f"timer {name}"):
                    callback(self.now())

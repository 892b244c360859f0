"""
kingcupdyke_daemon.taskerrors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits an error to the task, or the call within a task, in which it occurs.

An error in one task of a task group cancels all the others, which ends the process and cuts off
what it is doing for its clients. Only errors at the start and in the planned stop may do so.
"""

import logging
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from contextvars import Context
from functools import partial
from time import monotonic
from typing import Any

from anyio import sleep
from anyio.abc import TaskGroup

from kingcupdyke.budget import TokenBucket

__all__ = ["IsolatedTaskGroup", "TaskErrors"]

_LOGGER = logging.getLogger(__name__)
#: Limit of the tracebacks that are logged of one task each second; all errors are counted.
MAX_TRACEBACKS_PER_S = 1.0
#: Delay before a task that must go on is started again: doubles from the first value to the second.
INITIAL_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 1.6


class TaskErrors:
    """Logs and counts errors that must not end anything but the task in which they occur.

    :param count: called with the name of the task for each error, such as to count it in a metric
    """

    def __init__(self, count: Callable[[str], None] = lambda task: None) -> None:
        self._count = count
        self._bucket_by_task: dict[str, TokenBucket] = {}

    @contextmanager
    def contain(self, task: str) -> Iterator[None]:
        """Log and count an error within the context, which ends there.

        :param task: name of the task, one of a limited number
        """
        try:
            yield
        except Exception as error:
            self.note(task, error)

    def note(self, task: str, error: Exception) -> None:
        """Log and count an error."""
        self._count(task)
        bucket = self._bucket_by_task.get(task)
        if bucket is None:
            bucket = TokenBucket(MAX_TRACEBACKS_PER_S, MAX_TRACEBACKS_PER_S)
            self._bucket_by_task[task] = bucket
        if bucket.take(1.0, monotonic()):
            _LOGGER.error("error in task %s", task, exc_info=error)

    async def keep_running(self, task: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task that must go on: after an error it is started again, after a delay."""
        delay_s = INITIAL_RESTART_DELAY_S
        while True:
            started_s = monotonic()
            with self.contain(task):
                await run()
                return
            if monotonic() - started_s > MAX_RESTART_DELAY_S:
                delay_s = INITIAL_RESTART_DELAY_S
            await sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)


class IsolatedTaskGroup(TaskGroup):
    """Starts tasks in another task group, whose errors end nothing else in that group.

    :param tasks: the other task group, which its owner enters and leaves
    :param errors: logs and counts the errors
    """

    def __init__(self, tasks: TaskGroup, errors: TaskErrors) -> None:
        self._tasks = tasks
        self._errors = errors
        self.cancel_scope = tasks.cancel_scope

    def create_task(
        self,
        coro: Coroutine[Any, Any, Any],
        *,
        name: object = None,
        context: Context | None = None,
    ) -> Any:
        contained = self._contain(coro, _get_task_name(coro))
        return self._tasks.create_task(contained, name=name, context=context)

    def keep_running(
        self, run: Callable[..., Coroutine[Any, Any, None]], *arguments: object
    ) -> None:
        """Start a task that must go on, again after each error."""
        again = partial(run, *arguments)
        self._tasks.start_soon(self._errors.keep_running, run.__qualname__, again)

    async def start(self, func: Any, *args: object, **options: Any) -> Any:
        return await self._tasks.start(func, *args, **options)

    async def __aenter__(self) -> "IsolatedTaskGroup":
        raise RuntimeError("the other task group is entered by its owner")

    async def __aexit__(self, *exc_info: object) -> bool | None:
        return None

    async def _contain(self, coro: Coroutine[Any, Any, Any], name: str) -> Any:
        with self._errors.contain(name):
            return await coro


def _get_task_name(coro: Coroutine[Any, Any, Any]) -> str:
    return getattr(coro, "__qualname__", type(coro).__name__)

"""
kingcupdyke_measure.virtualtime
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An event loop whose time jumps to the next timer, so that hours are played in seconds.
"""

from asyncio import SelectorEventLoop
from collections.abc import Awaitable, Callable
from selectors import DefaultSelector, SelectorKey
from typing import Any

import anyio

__all__ = ["run_virtually"]


class _JumpingSelector(DefaultSelector):
    """Never waits: instead of waiting, time moves on."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("every task waits for ever")
        if not ready and timeout > 0:
            self.now_s += timeout
        return ready


class _VirtualLoop(SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


def run_virtually(job: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run a job that waits for timers only.

    :return: what the job returns
    """
    return anyio.run(job, *arguments, backend_options={"loop_factory": _VirtualLoop})

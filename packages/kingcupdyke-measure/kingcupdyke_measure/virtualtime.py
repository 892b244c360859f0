"""
kingcupdyke_measure.virtualtime
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An event loop whose time jumps to the next timer, so that hours are simulated in seconds.
"""

from asyncio import SelectorEventLoop
from collections.abc import Awaitable, Callable
from selectors import DefaultSelector, SelectorKey
from typing import Any

import anyio

__all__ = ["run_in_virtual_time"]


class _VirtualClockSelector(DefaultSelector):
    """Advances the virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("deadlock in virtual time: all tasks wait and no timer is set")
        if not ready and timeout > 0:
            self.now_s += timeout
        return ready


class _VirtualTimeLoop(SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._clock_selector = _VirtualClockSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        return self._clock_selector.now_s


def run_in_virtual_time(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run an asynchronous function in virtual time; it may wait for timers, not for I/O.

    :return: its result
    :raises RuntimeError: if all tasks wait and no timer is set
    """
    return anyio.run(function, *arguments, backend_options={"loop_factory": _VirtualTimeLoop})

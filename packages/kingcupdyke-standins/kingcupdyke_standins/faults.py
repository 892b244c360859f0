"""
kingcupdyke_standins.faults
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The fault switches of all stand-ins.
"""

from collections.abc import Mapping
from typing import NamedTuple

from kingcupdyke.error import OptionError

__all__ = ["EVERY_TIME", "SWITCHES_BY_STANDIN", "Faults", "Switch"]

#: Value of a counting switch that never runs out.
EVERY_TIME = -1


class Switch(NamedTuple):
    """A fault that can be set.

    A ``bool`` switch is on or off, an ``int`` one counts how often the fault is still to
    come, and a ``float`` one is an amount with its unit in the name.
    """

    default: bool | int | float
    effect: str


SWITCHES_BY_STANDIN: dict[str, dict[str, Switch]] = {
    "store": {
        "down": Switch(False, "every call answers 503 and does nothing"),
        "slow_ms": Switch(0.0, "every call waits before it does anything"),
        "lose_answers": Switch(0, "a write takes effect, then its connection is dropped"),
        "silent_watches": Switch(False, "watches neither answer nor end"),
    },
    "hosts": {
        "lag_s": Switch(0.0, "changes show after this time"),
    },
    "link": {
        "cut": Switch(False, "nothing gets through, in silence"),
        "freeze": Switch(False, "connections that are open now go silent for good"),
    },
    "weights": {
        "down": Switch(False, "fetches answer 503"),
    },
    "engine": {
        "lose_orders": Switch(0, "an order is neither carried out nor answered"),
        "delay_orders_ms": Switch(0.0, "orders are looked at after this time"),
        "late_answers_ms": Switch(0.0, "answers to orders and requests begin later"),
        "cross_answers": Switch(0, "a request gets the answer to another one"),
        "truncate": Switch(0, "an answer ends in the middle"),
        "double": Switch(0, "an answer is sent twice on its connection"),
        "freeze": Switch(False, "connections that are open now go silent for good"),
        "restart": Switch(False, "the engine starts anew with an empty memory"),
        "fail_kv": Switch(0, "an export or import of KV cache answers 503"),
        "cache_lag_ms": Switch(0.0, "cache events come later"),
        "cache_gap_every": Switch(0, "each cache event of this number in a row is lost"),
        "load_lag_ms": Switch(0.0, "the load report is older by this time"),
    },
    "service": {
        "slow_ms": Switch(0.0, "a call takes longer"),
        "lose_answers": Switch(0, "a call runs, then its connection is dropped"),
    },
}


class Faults:
    """The switches of one stand-in.

    :param standin: name of the stand-in
    """

    def __init__(self, standin: str) -> None:
        self._switches_by_name = SWITCHES_BY_STANDIN[standin]
        #: The values as they are now.
        self.values_by_name = {n: s.default for n, s in self._switches_by_name.items()}

    def set(self, values: Mapping[str, object]) -> None:
        """Set some switches and leave the others.

        :raises OptionError: for an unknown switch or a value of another type
        """
        for name, value in values.items():
            self._check(name, value)
        self.values_by_name.update(values)

    def value(self, name: str) -> bool | int | float:
        """:return: the value of a switch"""
        return self.values_by_name[name]

    def seconds(self, name: str) -> float:
        """:return: the value of a switch in milliseconds, as seconds"""
        return self.values_by_name[name] / 1000

    def take(self, name: str) -> bool:
        """:return: whether a counting switch strikes now, and count it down"""
        left = self.values_by_name[name]
        if left > 0:
            self.values_by_name[name] = left - 1
        return left != 0

    def take_action(self, name: str) -> bool:
        """:return: whether a switch that stands for an action was set, and reset it"""
        was_set = self.values_by_name.get(name, False)
        if was_set:
            self.values_by_name[name] = False
        return was_set

    def _check(self, name: str, value: object) -> None:
        if name not in self._switches_by_name:
            raise OptionError(name, value, f"give one of {', '.join(self._switches_by_name)}")
        default = self._switches_by_name[name].default
        if isinstance(default, bool) != isinstance(value, bool):
            raise OptionError(name, value, f"give a value such as {default!r}")
        allowed = int if isinstance(default, int) else int | float
        if not isinstance(value, allowed):
            raise OptionError(name, value, f"give a value such as {default!r}")

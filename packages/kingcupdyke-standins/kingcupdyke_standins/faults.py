"""
kingcupdyke_standins.faults
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The fault switches of all stand-ins.
"""

from collections.abc import Mapping
from typing import NamedTuple

from kingcupdyke.error import OptionError

__all__ = ["EVERY_TIME", "SWITCHES_BY_STANDIN", "Faults", "Switch"]

#: Value of a counting switch whose fault occurs every time.
EVERY_TIME = -1


class Switch(NamedTuple):
    """A fault that can be set.

    A ``bool`` switch is on or off. An ``int`` switch is the number of times that the fault will
    still occur, except for ``cache_gap_every``, which is a divisor. A ``float`` switch is an
    amount whose unit is in the name.
    """

    default: bool | int | float
    effect: str


SWITCHES_BY_STANDIN: dict[str, dict[str, Switch]] = {
    "store": {
        "down": Switch(False, "every call answers 503 and does nothing"),
        "slow_ms": Switch(0.0, "every call is delayed by this time before it is processed"),
        "lose_answers": Switch(0, "a write takes effect, then its connection is dropped"),
        "silent_watches": Switch(False, "watch requests are neither answered nor closed"),
    },
    "hosts": {
        "lag_s": Switch(0.0, "changes become visible after this time"),
    },
    "link": {
        "cut": Switch(False, "all data is discarded, connections stay open"),
        "freeze": Switch(False, "connections that are open now stall until they are closed"),
    },
    "weights": {
        "down": Switch(False, "fetches answer 503"),
    },
    "engine": {
        "lose_orders": Switch(0, "an order is neither executed nor answered"),
        "delay_orders_ms": Switch(
            0.0, "orders are processed after this time, expired ones are dropped"
        ),
        "late_answers_ms": Switch(0.0, "answers to orders and requests are delayed by this time"),
        "cross_answers": Switch(0, "a request gets the answer to another request"),
        "truncate": Switch(0, "an answer ends in the middle"),
        "double": Switch(0, "an answer is sent twice on its connection"),
        "freeze": Switch(False, "connections that are open now stall until they are closed"),
        "restart": Switch(False, "the engine restarts with empty memory"),
        "fail_kv": Switch(0, "an export or import of KV cache answers 503"),
        "cache_lag_ms": Switch(0.0, "cache events become visible after this time"),
        "cache_gap_every": Switch(
            0, "cache events with a sequence number divisible by this are lost"
        ),
        "load_lag_ms": Switch(0.0, "the load report is older by this time"),
    },
    "service": {
        "slow_ms": Switch(0.0, "a call takes longer by this time"),
        "lose_answers": Switch(0, "a call is executed, then its connection is dropped"),
    },
}


class Faults:
    """Values of the fault switches of one stand-in.

    :param standin: name of the stand-in
    """

    def __init__(self, standin: str) -> None:
        self._switches_by_name = SWITCHES_BY_STANDIN[standin]
        #: Current values.
        self.values_by_name = {n: s.default for n, s in self._switches_by_name.items()}

    def set(self, values: Mapping[str, object]) -> None:
        """Set some switches and leave the others unchanged.

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
        """Count down a counting switch.

        :return: whether its fault occurs now
        """
        remaining = self.values_by_name[name]
        if remaining > 0:
            self.values_by_name[name] = remaining - 1
        return remaining != 0

    def take_action(self, name: str) -> bool:
        """Reset a switch that triggers an action.

        :return: whether it was set
        """
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

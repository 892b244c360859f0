"""
kingcupdyke_standins.memory
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Books of an accelerator's memory.
"""

from typing import NamedTuple

__all__ = ["MemoryAccount", "Resident"]


class Resident(NamedTuple):
    """A model that is resident."""

    version: str
    size_bytes: int


class MemoryAccount:
    """What is in memory, and whether it was ever too much.

    :param capacity_bytes: memory that there is
    :param violations: takes a line for each overcommit
    """

    def __init__(self, capacity_bytes: int, violations: list[str]) -> None:
        self.capacity_bytes = capacity_bytes
        self.models_by_name: dict[str, Resident] = {}
        self.adapters_by_name: dict[str, int] = {}
        #: Imported KV caches by request id.
        self.kv_by_request: dict[str, int] = {}
        self.role = "mixed"
        self.role_bytes = 0
        self._loading_by_order: dict[str, int] = {}
        self._violations = violations

    @property
    def used_bytes(self) -> int:
        """Bytes in use, loads in progress at their full size."""
        models = sum(each.size_bytes for each in self.models_by_name.values())
        adapters = sum(self.adapters_by_name.values())
        kv = sum(self.kv_by_request.values())
        return models + adapters + kv + self.role_bytes + sum(self._loading_by_order.values())

    def fits(self, size_bytes: int) -> bool:
        """:return: whether so much is free"""
        return self.used_bytes + size_bytes <= self.capacity_bytes

    def begin_load(self, order_id: str, size_bytes: int) -> bool:
        """Count a load from its start.

        :return: whether it fits; where it does not, it is recorded and not kept
        """
        self._loading_by_order[order_id] = size_bytes
        if self.used_bytes <= self.capacity_bytes:
            return True
        used = f"{self.used_bytes} of {self.capacity_bytes} bytes"
        self._violations.append(f"memory overcommitted by order {order_id}: {used}")
        del self._loading_by_order[order_id]
        return False

    def end_load(self, order_id: str) -> int:
        """:return: the bytes of a load, which the caller books elsewhere now"""
        return self._loading_by_order.pop(order_id)

    def begin_role(self, order_id: str, size_bytes: int) -> bool:
        """Count the larger of both roles from the start of a change.

        :return: whether it fits
        """
        return self.begin_load(order_id, max(0, size_bytes - self.role_bytes))

    def end_role(self, order_id: str, role: str, size_bytes: int) -> None:
        """Count the new role only."""
        self.end_load(order_id)
        self.role = role
        self.role_bytes = size_bytes

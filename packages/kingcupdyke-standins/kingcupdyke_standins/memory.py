"""
kingcupdyke_standins.memory
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Accounting of an engine's accelerator memory.
"""

from typing import NamedTuple

__all__ = ["MemoryAccount", "Resident"]


class Resident(NamedTuple):
    """A resident model."""

    version: str
    size_bytes: int


class MemoryAccount:
    """Memory use of one engine, with a check for overcommits.

    :param capacity_bytes: accelerator memory of the engine
    :param violations: list that receives a line for each overcommit
    """

    def __init__(self, capacity_bytes: int, violations: list[str]) -> None:
        self.capacity_bytes = capacity_bytes
        self.models_by_name: dict[str, Resident] = {}
        #: Sizes in bytes of the resident adapters.
        self.adapters_by_name: dict[str, int] = {}
        #: Sizes in bytes of the imported KV caches, by request id.
        self.kv_by_request: dict[str, int] = {}
        self.role = "mixed"
        self.role_bytes = 0
        self._loading_by_order: dict[str, int] = {}
        self._violations = violations

    @property
    def used_bytes(self) -> int:
        """Bytes in use; loads in progress count at their full size."""
        models = sum(each.size_bytes for each in self.models_by_name.values())
        adapters = sum(self.adapters_by_name.values())
        kv = sum(self.kv_by_request.values())
        return models + adapters + kv + self.role_bytes + sum(self._loading_by_order.values())

    def fits(self, size_bytes: int) -> bool:
        """:return: whether enough memory is free"""
        return self.used_bytes + size_bytes <= self.capacity_bytes

    def begin_load(self, order_id: str, size_bytes: int) -> bool:
        """Count the full size of a load from its start.

        :return: whether it fits; otherwise it is recorded as a violation and not counted
        """
        self._loading_by_order[order_id] = size_bytes
        if self.used_bytes <= self.capacity_bytes:
            return True
        used = f"{self.used_bytes} of {self.capacity_bytes} bytes"
        self._violations.append(f"memory overcommitted by order {order_id}: {used}")
        del self._loading_by_order[order_id]
        return False

    def end_load(self, order_id: str) -> int:
        """Stop counting a load.

        :return: its size in bytes, for the caller to count as resident
        """
        return self._loading_by_order.pop(order_id)

    def begin_role(self, order_id: str, size_bytes: int) -> bool:
        """Count the larger of the old and the new role from the start of a role change.

        :return: whether it fits
        """
        return self.begin_load(order_id, max(0, size_bytes - self.role_bytes))

    def end_role(self, order_id: str, role: str, size_bytes: int) -> None:
        """Count only the new role from now on."""
        self.end_load(order_id)
        self.role = role
        self.role_bytes = size_bytes

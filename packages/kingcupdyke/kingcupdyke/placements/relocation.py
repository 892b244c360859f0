"""
kingcupdyke.placements.relocation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Moves a model to another endpoint if no single endpoint has enough free memory for a new one.
"""

from collections.abc import Iterable
from typing import NamedTuple

from kingcupdyke.placement import EndpointInventory
from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.rule import ModelRule

__all__ = ["Relocation", "find_relocation"]


class Relocation(NamedTuple):
    """A second copy of a model, after whose load the first one may be unloaded."""

    rule: ModelRule
    endpoint: str


def find_relocation(
    fleet: Fleet, targets: Iterable[EndpointInventory], size_bytes: int, pinned_model: str
) -> Relocation | None:
    """Find a model on one of the targets that fits elsewhere and whose memory is sufficient.

    :param targets: endpoints of which one needs ``size_bytes`` of free memory
    :param pinned_model: model that must not be moved
    :return: the first relocation found, or None
    """
    for target in targets:
        missing_bytes = size_bytes - fleet.free_by_endpoint[target.endpoint]
        for model in sorted(target.models - {pinned_model}):
            rule = fleet.rules.models_by_name.get(model)
            if rule is None or get_model_bytes(rule) < missing_bytes:
                continue
            for other in fleet.list_targets(rule):
                if fleet.free_by_endpoint[other.endpoint] >= get_model_bytes(rule):
                    return Relocation(rule, other.endpoint)
    return None

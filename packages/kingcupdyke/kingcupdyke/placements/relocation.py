"""
kingcupdyke.placements.relocation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Moving a model that the rules need out of the way, when free memory lies in pieces too small.
"""

from collections.abc import Iterable
from typing import NamedTuple

from kingcupdyke.placement import EndpointInventory
from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.rule import ModelRule

__all__ = ["Relocation", "find_relocation"]


class Relocation(NamedTuple):
    """A second copy of a model, after which the first may be unloaded."""

    rule: ModelRule
    endpoint: str


def find_relocation(
    fleet: Fleet, targets: Iterable[EndpointInventory], size_bytes: int, kept: str
) -> Relocation | None:
    """Find a model on one of the targets that fits elsewhere and whose room is enough.

    :param targets: endpoints where something of ``size_bytes`` should go
    :param kept: model that must not move
    :return: the first one found, or None
    """
    for target in targets:
        missing_bytes = size_bytes - fleet.free_by_endpoint[target.endpoint]
        for model in sorted(target.models - {kept}):
            rule = fleet.rules.models_by_name.get(model)
            if rule is None or get_model_bytes(rule) < missing_bytes:
                continue
            for other in fleet.list_targets(rule):
                if fleet.free_by_endpoint[other.endpoint] >= get_model_bytes(rule):
                    return Relocation(rule, other.endpoint)
    return None

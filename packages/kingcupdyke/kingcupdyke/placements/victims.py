"""
kingcupdyke.placements.victims
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finding what to unload so that something of more worth fits.
"""

from collections.abc import Callable
from typing import NamedTuple

from kingcupdyke.placement import EndpointInventory
from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.placements.gain import DemandModel

__all__ = ["Victims", "find_victims"]


class Victims(NamedTuple):
    """Models to unload from an endpoint, and what their loss costs."""

    target: EndpointInventory
    models: tuple[str, ...]
    #: Requests a second that are no longer served.
    loss: float


def find_victims(
    fleet: Fleet,
    demand: DemandModel,
    target: EndpointInventory,
    size_bytes: int,
    may_unload: Callable[[str], bool],
) -> Victims | None:
    """Find the cheapest replicas beyond the rules whose room is enough.

    :param size_bytes: room that is needed in all
    :param may_unload: tells of a model on the endpoint whether it may go
    :return: them, or None when they are not enough or an unload is under way there already
    """
    if fleet.unloads_by_endpoint[target.endpoint]:
        return None
    free_bytes = fleet.free_by_endpoint[target.endpoint]
    models: list[str] = []
    total = 0.0
    for loss, model in sorted(_list_losses(fleet, demand, target)):
        if free_bytes >= size_bytes:
            break
        if may_unload(model):
            listed = fleet.rules.models_by_name.get(model)
            # The size of a model that is no longer listed shows only once it is gone.
            free_bytes += get_model_bytes(listed) if listed else size_bytes
            models.append(model)
            total += loss
    enough = bool(models) and free_bytes >= size_bytes
    return Victims(target, tuple(models), total) if enough else None


def _list_losses(
    fleet: Fleet, demand: DemandModel, target: EndpointInventory
) -> list[tuple[float, str]]:
    return [
        (demand.get_loss(model, fleet.count_by_region(model), target.region), model)
        for model in target.models
        if target.endpoint in fleet.holders_by_model[model]
        and len(fleet.holders_by_model[model]) > fleet.get_needed(model)
    ]

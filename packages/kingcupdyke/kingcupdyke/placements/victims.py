"""
kingcupdyke.placements.victims
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finding what to unload so that something of more worth fits.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from kingcupdyke.placement import EndpointInventory
from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.placements.gain import DemandModel

__all__ = ["Victim", "Victims", "find_victims"]


class Victim(NamedTuple):
    """A model, or one of its adapters, that may be unloaded."""

    #: Requests a second that are no longer served.
    loss: float
    model: str
    #: Name of the adapter, or the empty string for the model itself.
    adapter: str
    size_bytes: int


class Victims(NamedTuple):
    """What to unload from an endpoint, and what that costs."""

    target: EndpointInventory
    victims: tuple[Victim, ...]

    @property
    def loss(self) -> float:
        """:return: requests a second that are no longer served"""
        return sum(each.loss for each in self.victims)


def find_victims(
    fleet: Fleet,
    demand: DemandModel,
    target: EndpointInventory,
    size_bytes: int,
    may_unload: Callable[[str], bool],
    adapter_copies: int | None = None,
) -> Victims | None:
    """Find the cheapest replicas beyond the rules whose room is enough.

    :param size_bytes: room that is needed in all
    :param may_unload: tells of a model on the endpoint whether it may go
    :param adapter_copies: copies of an adapter that must remain; None: those in use all stay
    :return: them, or None when they are not enough or an unload is under way there already
    """
    if fleet.unloads_by_endpoint[target.endpoint]:
        return None
    candidates = [*_list_models(fleet, demand, target)]
    candidates = [each for each in candidates if may_unload(each.model)]
    candidates += _list_adapters(fleet, target, adapter_copies)
    left_bytes = size_bytes - fleet.free_by_endpoint[target.endpoint]
    chosen: list[Victim] = []
    for victim in sorted(candidates):
        if left_bytes <= 0:
            break
        # The size of what is no longer listed shows only once it is gone.
        left_bytes -= victim.size_bytes or left_bytes
        chosen.append(victim)
    return Victims(target, tuple(chosen)) if chosen and left_bytes <= 0 else None


def _list_models(fleet: Fleet, demand: DemandModel, target: EndpointInventory) -> Iterator[Victim]:
    for model in target.models:
        holders = fleet.holders_by_model[model]
        if target.endpoint not in holders or len(holders) <= fleet.get_needed(model):
            continue
        loss = demand.get_loss(model, fleet.count_by_region(model), target.region)
        rule = fleet.rules.models_by_name.get(model)
        yield Victim(loss, model, "", get_model_bytes(rule) if rule else 0)


def _list_adapters(
    fleet: Fleet, target: EndpointInventory, adapter_copies: int | None
) -> Iterator[Victim]:
    for adapter in target.adapters:
        rule = fleet.rules.adapters_by_name.get(adapter)
        if rule is None or rule.model not in target.models:
            yield Victim(0.0, "", adapter, rule.adapter_bytes if rule else 0)
        elif adapter_copies is not None:
            holders = fleet.holders_by_adapter[adapter] & fleet.holders_by_model[rule.model]
            if target.endpoint in holders and len(holders) > adapter_copies:
                yield Victim(0.0, rule.model, adapter, rule.adapter_bytes)

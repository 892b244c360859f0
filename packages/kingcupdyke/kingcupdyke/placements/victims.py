"""
kingcupdyke.placements.victims
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the models and adapters to unload so that a more valuable one fits.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from kingcupdyke.placement import EndpointInventory
from kingcupdyke.placements.fleet import Fleet, get_model_bytes
from kingcupdyke.placements.gain import DemandModel

__all__ = ["Victim", "Victims", "find_victims"]


class Victim(NamedTuple):
    """A model, or one of its adapters, that may be unloaded."""

    #: Weighted requests a second that are lost.
    loss: float
    model: str
    #: Name of the adapter, or the empty string for the model itself.
    adapter: str
    size_bytes: int


class Victims(NamedTuple):
    """The models and adapters to unload from an endpoint."""

    target: EndpointInventory
    victims: tuple[Victim, ...]

    @property
    def loss(self) -> float:
        """:return: weighted requests a second that are lost"""
        return sum(each.loss for each in self.victims)


def find_victims(
    fleet: Fleet,
    demand: DemandModel,
    target: EndpointInventory,
    size_bytes: int,
    may_unload: Callable[[str], bool],
    adapter_copies: int | None = None,
) -> Victims | None:
    """Find the cheapest replicas beyond the rules whose unload frees enough memory.

    :param size_bytes: bytes of free memory that are needed on the endpoint
    :param may_unload: returns whether a model on the endpoint may be unloaded
    :param adapter_copies: copies of an adapter that must remain; None: all copies whose model is on
        the endpoint remain
    :return: the victims, or None if they are not enough or the endpoint has an unload in flight
    """
    if fleet.unloads_by_endpoint[target.endpoint]:
        return None
    candidates = [*_list_models(fleet, demand, target)]
    candidates = [each for each in candidates if may_unload(each.model)]
    candidates += _list_adapters(fleet, target, adapter_copies)
    missing_bytes = size_bytes - fleet.free_by_endpoint[target.endpoint]
    chosen: list[Victim] = []
    for victim in sorted(candidates):
        if missing_bytes <= 0:
            break
        # The size of a victim without a rule shows only after its unload; assume that it suffices.
        missing_bytes -= victim.size_bytes or missing_bytes
        chosen.append(victim)
    return Victims(target, tuple(chosen)) if chosen and missing_bytes <= 0 else None


def _list_models(fleet: Fleet, demand: DemandModel, target: EndpointInventory) -> Iterator[Victim]:
    for model in target.models:
        holders = fleet.holders_by_model[model]
        if target.endpoint not in holders or len(holders) <= fleet.get_required(model):
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

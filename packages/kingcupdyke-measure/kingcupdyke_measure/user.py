"""
kingcupdyke_measure.user
~~~~~~~~~~~~~~~~~~~~~~~~

The two users' sites at today's size, from their rule files.
"""

from pathlib import Path
from typing import NamedTuple

from kingcupdyke.rule import ModelRule, RuleSet
from kingcupdyke.rulesnapshot import to_rule_set
from kingcupdyke_standins.site import GatewayPlan, SidecarPlan, SitePlan
from kingcupdyke_wire.rulefile import check_rule_file

__all__ = ["USERS_BY_NAME", "User", "load_rules", "plan_site", "spread_models"]

_EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
_CAPACITY_BYTES = 80 * 10**9
#: Memory of an engine that is left free for adapters when models are placed at the start.
_ADAPTER_BYTES = 4 * 10**9


class User(NamedTuple):
    """A user's places and services."""

    name: str
    rule_file: Path
    #: Data centres by region, the larger region first.
    data_centres_by_region: dict[str, tuple[str, ...]]
    #: Model hosts by data centre.
    model_hosts_by_data_centre: dict[str, int]
    #: Loads that the weight store gives at full speed at once.
    full_speed_loads: int
    #: Adapter loads in flight beyond which each takes longer.
    adapter_knee: int
    client_delay_ms: float


USERS_BY_NAME = {
    each.name: each
    for each in (
        User(
            "rozhodci-plan",
            _EXAMPLES / "rozhodci-plan.yaml",
            {"bohemia": ("praha", "plzen"), "moravia": ("brno",)},
            {"praha": 2, "plzen": 1, "brno": 2},
            6,
            50,
            1.0,
        ),
        User(
            "hoja-del-dia",
            _EXAMPLES / "hoja-del-dia.yaml",
            {"central": ("ciudad", "mixco"), "costa-sur": ("escuintla",)},
            {"ciudad": 2, "mixco": 1, "escuintla": 2},
            5,
            40,
            3.0,
        ),
    )
}


def load_rules(user: User) -> RuleSet:
    """:return: the rules of a user's file
    :raises ValueError: when the file has mistakes
    """
    checked = check_rule_file(user.rule_file.read_text())
    if checked.is_error():
        raise ValueError(f"{user.rule_file.name}: {checked.error}")
    return to_rule_set(checked.ok.book)


def spread_models(user: User, rules: RuleSet) -> dict[str, dict[str, int]]:
    """Place each model's least replicas, the largest models first.

    :return: bytes of each model by host
    """
    hosts = _list_model_hosts(user)
    free_by_host = dict.fromkeys((name for name, _, _ in hosts), _CAPACITY_BYTES - _ADAPTER_BYTES)
    models_by_host: dict[str, dict[str, int]] = {name: {} for name, _, _ in hosts}
    for model in sorted(rules.models_by_name.values(), key=_size, reverse=True):
        allowed = [name for name, region, _ in hosts if region in model.regions]
        allowed.sort(key=lambda name: -free_by_host[name])
        for name in allowed[: model.replicas]:
            if _size(model) <= free_by_host[name]:
                models_by_host[name][model.name] = _size(model)
                free_by_host[name] -= _size(model)
    return models_by_host


def plan_site(
    user: User,
    gateway_settings: dict[str, object] | None = None,
    sidecar_settings: dict[str, object] | None = None,
    engine: tuple[str, ...] = (),
    preload: bool = True,
) -> SitePlan:
    """Plan a user's site: an entry host and an application host in each data centre.

    :param engine: options of all engines
    :param preload: whether the rules' least replicas are resident at the start
    """
    rules = load_rules(user)
    models_by_host = spread_models(user, rules) if preload else {}
    knee = ("--adapter-knee", str(user.adapter_knee))
    sidecars = [
        SidecarPlan(
            name,
            region,
            data_centre,
            engine=(*_model_options(models_by_host.get(name, {})), *knee, *engine),
            checks_fence=index % 2 == 0,
        )
        for index, (name, region, data_centre) in enumerate(_list_model_hosts(user))
    ]
    services = tuple((name, ()) for name in sorted(rules.services_by_name))
    places = [
        (region, place)
        for region, places in user.data_centres_by_region.items()
        for place in places
    ]
    sidecars += [
        SidecarPlan(f"app-{place}", region, place, services=services) for region, place in places
    ]
    gateways = tuple(GatewayPlan(f"entry-{place}", region, place) for region, place in places)
    return SitePlan(
        gateways,
        tuple(sidecars),
        gateway_settings or {},
        sidecar_settings or {},
        weights=("--full-speed", str(user.full_speed_loads)),
    )


def _list_model_hosts(user: User) -> list[tuple[str, str, str]]:
    return [
        (f"model-{place}-{index}", region, place)
        for region, places in user.data_centres_by_region.items()
        for place in places
        for index in range(user.model_hosts_by_data_centre[place])
    ]


def _size(model: ModelRule) -> int:
    return model.weights_bytes + model.kv_bytes


def _model_options(models: dict[str, int]) -> tuple[str, ...]:
    if not models:
        return ()
    return ("--models", ",".join(f"{name}={size}" for name, size in models.items()))

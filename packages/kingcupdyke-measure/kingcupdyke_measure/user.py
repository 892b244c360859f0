"""
kingcupdyke_measure.user
~~~~~~~~~~~~~~~~~~~~~~~~

Plans the sites of the two example users from their rule files.
"""

from pathlib import Path
from typing import NamedTuple

from kingcupdyke.rule import ModelRule, RuleSet
from kingcupdyke.rulesnapshot import to_rule_set
from kingcupdyke_standins.site import GatewayPlan, SidecarPlan, SitePlan
from kingcupdyke_wire.rulefile import check_rule_file

__all__ = ["USERS_BY_NAME", "User", "assign_models", "load_rules", "plan_site"]

_EXAMPLES_FOLDER = Path(__file__).resolve().parents[3] / "examples"
_ENGINE_MEMORY_BYTES = 80 * 10**9
#: Memory of an engine that the initial placement of models reserves for adapters.
_ADAPTER_RESERVE_BYTES = 4 * 10**9


class User(NamedTuple):
    """An example user: its rules, regions, data centres and model hosts."""

    name: str
    rule_file: Path
    #: Data centres by region, the larger region first.
    data_centres_by_region: dict[str, tuple[str, ...]]
    #: Number of model hosts by data centre.
    model_hosts_by_data_centre: dict[str, int]
    #: Number of concurrent loads that the weight store serves at full speed.
    full_speed_loads: int
    #: Saturation point: with more adapter loads in flight, each takes proportionally longer.
    adapter_knee: int
    client_delay_ms: float


USERS_BY_NAME = {
    each.name: each
    for each in (
        User(
            "rozhodci-plan",
            _EXAMPLES_FOLDER / "rozhodci-plan.yaml",
            {"bohemia": ("praha", "plzen"), "moravia": ("brno",)},
            {"praha": 2, "plzen": 1, "brno": 2},
            6,
            50,
            1.0,
        ),
        User(
            "hoja-del-dia",
            _EXAMPLES_FOLDER / "hoja-del-dia.yaml",
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
    :raises ValueError: if the file has errors
    """
    checked = check_rule_file(user.rule_file.read_text())
    if checked.is_error():
        raise ValueError(f"{user.rule_file.name}: {checked.error}")
    return to_rule_set(checked.ok.rule_snapshot)


def assign_models(user: User, rules: RuleSet) -> dict[str, dict[str, int]]:
    """Assign the minimum number of replicas of each model to hosts, the largest models first.

    A replica is left out if it does not fit.

    :return: bytes of each model by host
    """
    hosts = _list_model_hosts(user)
    free_by_host = dict.fromkeys(
        (name for name, _, _ in hosts), _ENGINE_MEMORY_BYTES - _ADAPTER_RESERVE_BYTES
    )
    models_by_host: dict[str, dict[str, int]] = {name: {} for name, _, _ in hosts}
    for model in sorted(rules.models_by_name.values(), key=_get_size_bytes, reverse=True):
        allowed = [name for name, region, _ in hosts if region in model.regions]
        allowed.sort(key=lambda name: -free_by_host[name])
        for name in allowed[: model.replicas]:
            if _get_size_bytes(model) <= free_by_host[name]:
                models_by_host[name][model.name] = _get_size_bytes(model)
                free_by_host[name] -= _get_size_bytes(model)
    return models_by_host


def plan_site(
    user: User,
    gateway_settings: dict[str, object] | None = None,
    sidecar_settings: dict[str, object] | None = None,
    engine: tuple[str, ...] = (),
    has_initial_models: bool = True,
) -> SitePlan:
    """Plan a user's site: its model hosts, and an entry host and application host per data centre.

    :param engine: command line options of all engines
    :param has_initial_models: whether the minimum replicas of all models are resident at the start
    """
    rules = load_rules(user)
    models_by_host = assign_models(user, rules) if has_initial_models else {}
    knee_options = ("--adapter-knee", str(user.adapter_knee))
    sidecars = [
        SidecarPlan(
            name,
            region,
            data_centre,
            engine=(*_make_model_options(models_by_host.get(name, {})), *knee_options, *engine),
            checks_fence=index % 2 == 0,
        )
        for index, (name, region, data_centre) in enumerate(_list_model_hosts(user))
    ]
    services = tuple((name, ()) for name in sorted(rules.services_by_name))
    regions_and_centres = [
        (region, centre)
        for region, centres in user.data_centres_by_region.items()
        for centre in centres
    ]
    sidecars += [
        SidecarPlan(f"app-{centre}", region, centre, services=services)
        for region, centre in regions_and_centres
    ]
    gateways = tuple(
        GatewayPlan(f"entry-{centre}", region, centre) for region, centre in regions_and_centres
    )
    return SitePlan(
        gateways,
        tuple(sidecars),
        gateway_settings or {},
        sidecar_settings or {},
        weights=("--full-speed", str(user.full_speed_loads)),
    )


def _list_model_hosts(user: User) -> list[tuple[str, str, str]]:
    return [
        (f"model-{centre}-{index}", region, centre)
        for region, centres in user.data_centres_by_region.items()
        for centre in centres
        for index in range(user.model_hosts_by_data_centre[centre])
    ]


def _get_size_bytes(model: ModelRule) -> int:
    return model.weights_bytes + model.kv_bytes


def _make_model_options(models: dict[str, int]) -> tuple[str, ...]:
    if not models:
        return ()
    return ("--models", ",".join(f"{name}={size}" for name, size in models.items()))

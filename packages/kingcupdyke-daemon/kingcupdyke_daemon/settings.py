"""
kingcupdyke_daemon.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of the daemons, read from YAML and checked before anything starts.
"""

from collections.abc import Callable, Mapping
from ipaddress import ip_address
from pathlib import Path
from typing import NamedTuple

from expression import Error, Ok, Result
from ruamel.yaml import YAML, YAMLError

from kingcupdyke.error import OptionError
from kingcupdyke.placements.issuer import ADAPTER_KNEE, LOADS_AT_ONCE, LOADS_PER_S
from kingcupdyke.util import (
    MIB,
    get_bytes_opt,
    get_choice_opt,
    get_float_opt,
    get_int_opt,
    get_seconds_opt,
    get_str_opt,
)

__all__ = ["GatewaySettings", "HostSettings", "SidecarSettings", "load_settings"]


class HostSettings(NamedTuple):
    """Settings that both daemons have."""

    host: str
    address: str
    region: str
    data_centre: str
    store_url: str
    hosts_url: str
    log_level: str
    #: Seconds between pulls of configuration from a peer.
    pull_s: float
    #: Seconds between reads of the host list.
    list_s: float
    #: Seconds between heartbeats on a connection.
    beat_s: float
    #: Seconds without a message after which a connection is stalled.
    silence_s: float
    #: Seconds that a planned stop waits at most until a peer has accepted its notice; a gateway
    #: also waits this long, so that load balancers notice that it is not ready.
    farewell_s: float


class GatewaySettings(NamedTuple):
    """Settings of ``kingcupdyked gateway``."""

    common: HostSettings
    port: int
    peer_port: int
    router: str
    placement: str
    admission: str
    retry_share: float
    most_body_bytes: int
    #: Limit of the bytes of all request bodies together.
    most_held_bytes: int
    #: Limit of the open connections of callers.
    most_connections: int
    #: Maximum number of concurrent requests per endpoint, over all gateways.
    endpoint_slots: int
    most_waiting: int
    #: Weight of attainment against moves: 0.0 is moves only, 1.0 is attainment only.
    lean: float
    region_link_bytes_per_s: int
    #: Region of the weight store; empty if loads are cheap in every region.
    store_region: str
    #: Loads per second that the weight store allows, and concurrent loads that get full speed.
    loads_per_s: float
    loads_at_once: int
    #: Saturation point: adapter loads in flight over all endpoints from which each takes longer.
    adapter_knee: int
    lease_s: float
    plan_s: float
    affinity: bool
    two_choices: bool
    #: Hexadecimal SHA-256 of the operators' token; empty if none is required.
    operator_digest: str


class SidecarSettings(NamedTuple):
    """Settings of ``kingcupdyked sidecar``."""

    common: HostSettings
    port: int
    #: Port for health checks and metrics.
    http_port: int
    #: Name of the endpoint, unique over all hosts.
    endpoint: str
    engine_url: str
    services_by_name: dict[str, str]
    #: Whether the engine rejects orders with an old fencing number.
    checks_fence: bool
    most_in_flight: int
    #: Seconds that a request continues without its gateway's stream, until it is resumed.
    resume_s: float
    order_lifetime_s: float
    #: Maximum number of concurrent adapter loads at this endpoint, planned and on demand.
    adapter_loads: int
    key_buckets: int
    key_retention_s: float
    tick_s: float
    #: Hexadecimal SHA-256 of the operators' token; empty if none is required.
    operator_digest: str


def _get_address(options: Mapping[str, object], name: str) -> str:
    value = get_str_opt(options, name)
    try:
        ip_address(value)
    except ValueError:
        raise OptionError(name, value, "give an IP number, not a name") from None
    return value


def _get_url(options: Mapping[str, object], name: str, default: object = ...) -> str:
    value = get_str_opt(options, name) if default is ... else get_str_opt(options, name, default)
    if value and not value.startswith("http://"):
        raise OptionError(name, value, "give an address such as http://127.0.0.1:8080")
    return value.rstrip("/")


def _get_bool(options: Mapping[str, object], name: str, default: bool) -> bool:
    value = options.get(name, default)
    if not isinstance(value, bool):
        raise OptionError(name, value, "give true or false")
    return value


def _get_services(options: Mapping[str, object], name: str) -> dict[str, str]:
    value = options.get(name, {})
    if not isinstance(value, Mapping):
        raise OptionError(name, value, "give a mapping of service names to addresses")
    return {str(key): _get_url(value, key) for key in value}


Reader = Callable[[Mapping[str, object], str], object]

_COMMON_READERS: dict[str, Reader] = {
    "host": get_str_opt,
    "address": _get_address,
    "region": get_str_opt,
    "data_centre": get_str_opt,
    "store_url": _get_url,
    "hosts_url": _get_url,
    "log_level": lambda o, n: get_choice_opt(o, n, ("DEBUG", "INFO", "WARNING"), "INFO"),
    "pull_s": lambda o, n: get_seconds_opt(o, n, 2.0),
    "list_s": lambda o, n: get_seconds_opt(o, n, 1.0),
    "beat_s": lambda o, n: get_seconds_opt(o, n, 0.5),
    "silence_s": lambda o, n: get_seconds_opt(o, n, 1.6),
    "farewell_s": lambda o, n: get_seconds_opt(o, n, 1.0),
}
_GATEWAY_READERS: dict[str, Reader] = {
    "port": lambda o, n: get_int_opt(o, n, 0),
    "peer_port": lambda o, n: get_int_opt(o, n, 0),
    "router": lambda o, n: get_choice_opt(
        o, n, ("cost", "random", "round_robin", "least_load"), "cost"
    ),
    "placement": lambda o, n: get_choice_opt(o, n, ("greedy", "static", "none"), "greedy"),
    "admission": lambda o, n: get_choice_opt(o, n, ("deadline", "none"), "deadline"),
    "retry_share": lambda o, n: get_float_opt(o, n, 0.1, 0.0, 1.0),
    "most_body_bytes": lambda o, n: get_bytes_opt(o, n, MIB),
    "most_held_bytes": lambda o, n: get_bytes_opt(o, n, 32 * MIB),
    "most_connections": lambda o, n: get_int_opt(o, n, 1024, 1),
    "endpoint_slots": lambda o, n: get_int_opt(o, n, 32, 1),
    "most_waiting": lambda o, n: get_int_opt(o, n, 256),
    "lean": lambda o, n: get_float_opt(o, n, 0.7, 0.0, 1.0),
    "region_link_bytes_per_s": lambda o, n: get_bytes_opt(o, n, 200_000),
    "store_region": lambda o, n: get_str_opt(o, n, ""),
    "loads_per_s": lambda o, n: get_float_opt(o, n, LOADS_PER_S, 0.001),
    "loads_at_once": lambda o, n: get_int_opt(o, n, LOADS_AT_ONCE, 1),
    "adapter_knee": lambda o, n: get_int_opt(o, n, ADAPTER_KNEE, 2),
    "lease_s": lambda o, n: get_seconds_opt(o, n, 6.0),
    "plan_s": lambda o, n: get_seconds_opt(o, n, 1.0),
    "affinity": lambda o, n: _get_bool(o, n, True),
    "two_choices": lambda o, n: _get_bool(o, n, True),
    "operator_digest": lambda o, n: get_str_opt(o, n, ""),
}
_SIDECAR_READERS: dict[str, Reader] = {
    "port": lambda o, n: get_int_opt(o, n, 0),
    "http_port": lambda o, n: get_int_opt(o, n, 0),
    "endpoint": get_str_opt,
    "engine_url": lambda o, n: _get_url(o, n, ""),
    "services_by_name": _get_services,
    "checks_fence": lambda o, n: _get_bool(o, n, False),
    "most_in_flight": lambda o, n: get_int_opt(o, n, 128, 1),
    "resume_s": lambda o, n: get_seconds_opt(o, n, 5.0),
    "order_lifetime_s": lambda o, n: get_seconds_opt(o, n, 30.0),
    "adapter_loads": lambda o, n: get_int_opt(o, n, 5, 1),
    "key_buckets": lambda o, n: get_int_opt(o, n, 16_384, 1),
    "key_retention_s": lambda o, n: get_seconds_opt(o, n, 86_400.0),
    "tick_s": lambda o, n: get_seconds_opt(o, n, 0.01),
    "operator_digest": lambda o, n: get_str_opt(o, n, ""),
}


def load_settings(
    path: Path, kind: type[GatewaySettings] | type[SidecarSettings]
) -> Result[GatewaySettings | SidecarSettings, list[str]]:
    """Read a settings file.

    :param path: the YAML file
    :param kind: the type of the settings
    :return: the settings, or one line of text for each error
    """
    try:
        options = YAML(typ="safe").load(path.read_text())
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        return Error([f"{path}: {error}"])
    if not isinstance(options, Mapping):
        return Error([f"{path}: give a mapping of settings"])
    readers = _GATEWAY_READERS if kind is GatewaySettings else _SIDECAR_READERS
    known = _COMMON_READERS | readers
    errors = [f"{path}: {name}: unknown setting" for name in options if name not in known]
    values: dict[str, object] = {}
    for name, reader in known.items():
        try:
            values[name] = reader(options, name)
        except OptionError as error:
            errors.append(f"{path}: {error}")
    if errors:
        return Error(errors)
    common = HostSettings(**{name: values[name] for name in _COMMON_READERS})
    return Ok(kind(common=common, **{name: values[name] for name in readers}))

"""
kingcupdyke_standins.site
~~~~~~~~~~~~~~~~~~~~~~~~~

A small site of separate processes: gateways, sidecars and the stand-ins that they use.
"""

from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from itertools import permutations
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import NamedTuple, Self

from ruamel.yaml import YAML

from kingcupdyke_standins.process import DaemonProcess, StandinProcess

__all__ = ["GatewayPlan", "SidecarPlan", "Site", "SitePlan"]

LOOPBACK = "127.0.0.1"
#: Limit of the hosts that are started concurrently.
MAX_CONCURRENT_STARTS = 6


class SidecarPlan(NamedTuple):
    """An endpoint host: a sidecar in front of an engine or services."""

    name: str
    region: str
    data_centre: str
    #: Options of the engine's stand-in; None if there is no engine.
    engine: tuple[str, ...] | None = None
    #: Options of each service's stand-in, by the service's name.
    services: tuple[tuple[str, tuple[str, ...]], ...] = ()
    #: Whether the engine rejects orders with a stale fencing number.
    checks_fence: bool = True


class GatewayPlan(NamedTuple):
    """An entry host, which runs a gateway."""

    name: str
    region: str
    data_centre: str


class SitePlan(NamedTuple):
    """Hosts, settings and stand-in options of a site."""

    gateways: tuple[GatewayPlan, ...]
    sidecars: tuple[SidecarPlan, ...]
    #: Settings of all gateways besides those that the site derives from the plan.
    gateway_settings: dict[str, object] = {}
    #: Settings of all sidecars besides those that the site derives from the plan.
    sidecar_settings: dict[str, object] = {}
    #: Options of the stand-ins of the store, the host list and the weight store.
    store: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    weights: tuple[str, ...] = ()
    #: Options of the links between regions; None connects the regions directly.
    link: tuple[str, ...] | None = None


class Site:
    """Starts the processes of a plan; after the ``with`` block no process is left running.

    :param plan: what to start
    """

    def __init__(self, plan: SitePlan) -> None:
        self._plan = plan
        self._stack = ExitStack()
        #: Folder of the settings files, which is deleted with the site.
        self.folder = Path()
        self._settings_by_name: dict[str, Path] = {}
        self.store: StandinProcess | None = None
        #: The host list of each region, with addresses that are reachable from the region.
        self.hosts_by_region: dict[str, StandinProcess] = {}
        #: The link from one region to another, by the names of both.
        self.links_by_region_pair: dict[tuple[str, str], StandinProcess] = {}
        self.weights: StandinProcess | None = None
        self.engines_by_name: dict[str, StandinProcess] = {}
        self.services_by_name: dict[str, list[StandinProcess]] = {}
        self.sidecars_by_name: dict[str, DaemonProcess] = {}
        self.gateways_by_name: dict[str, DaemonProcess] = {}

    def __enter__(self) -> Self:
        self.folder = Path(self._stack.enter_context(TemporaryDirectory()))
        try:
            self.store = self._start_standin("store", *self._plan.store)
            for region in self._regions:
                self.hosts_by_region[region] = self._start_standin("hosts", *self._plan.hosts)
            for region_pair in permutations(self._regions, 2):
                if self._plan.link is not None:
                    self.links_by_region_pair[region_pair] = self._start_standin(
                        "link", *self._plan.link
                    )
            self.weights = self._start_standin("weights", *self._plan.weights)
            with ThreadPoolExecutor(MAX_CONCURRENT_STARTS) as pool:
                list(pool.map(self.start_sidecar, self._plan.sidecars))
                list(pool.map(self.start_gateway, self._plan.gateways))
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for process in (*self.gateways_by_name.values(), *self.sidecars_by_name.values()):
            process.kill()
        self._stack.close()

    @property
    def _regions(self) -> list[str]:
        return sorted({each.region for each in (*self._plan.gateways, *self._plan.sidecars)})

    @property
    def tool_settings(self) -> Path:
        """Settings file of the operators' tool."""
        hosts = self.hosts_by_region[self._regions[0]]
        return self._write_settings("tool", {"store": self.store.url, "hosts": hosts.url})

    def gateway(self, name: str | None = None) -> DaemonProcess:
        """:return: the gateway of a name, or a random running one"""
        if name is not None:
            return self.gateways_by_name[name]
        running = [each for each in self.gateways_by_name.values() if each.is_running()]
        return Random().choice(running)

    def violations(self) -> list[str]:
        """:return: descriptions of the invariant violations that running stand-ins have detected"""
        standins = [*self.engines_by_name.values(), self.weights, self.store]
        for processes in self.services_by_name.values():
            standins += processes
        return [text for each in standins if each.is_running() for text in each.violations()]

    def start_sidecar(self, plan: SidecarPlan) -> DaemonProcess:
        """Start the engine or services of an endpoint host, then its sidecar."""
        settings = self._build_common_settings(plan.name, plan.region, plan.data_centre)
        settings |= self._plan.sidecar_settings
        settings |= {"endpoint": plan.name, "checks_fence": plan.checks_fence}
        if plan.engine is not None:
            settings["engine_url"] = self._start_engine(plan).url
        services = {}
        for name, options in plan.services:
            process = self._start_standin("service", *options)
            self.services_by_name.setdefault(name, []).append(process)
            services[name] = process.url
        settings["services_by_name"] = services
        self._write_settings(plan.name, settings)
        return self.restart_sidecar(plan)

    def restart_sidecar(self, plan: SidecarPlan) -> DaemonProcess:
        """Start the sidecar of an endpoint host whose engine or services are running."""
        process = self._stack.enter_context(
            DaemonProcess("sidecar", self._settings_by_name[plan.name])
        )
        self.sidecars_by_name[plan.name] = process
        self.list_host(plan, "sidecar", process.port)
        return process

    def start_gateway(self, plan: GatewayPlan) -> DaemonProcess:
        """Start an entry host."""
        settings = self._build_common_settings(plan.name, plan.region, plan.data_centre)
        self._write_settings(plan.name, settings | self._plan.gateway_settings)
        process = self._stack.enter_context(
            DaemonProcess("gateway", self._settings_by_name[plan.name])
        )
        self.gateways_by_name[plan.name] = process
        self.list_host(plan, "gateway", process.port, process.ports_by_label["peers"])
        return process

    def list_host(
        self,
        plan: SidecarPlan | GatewayPlan,
        kind: str,
        port: int,
        peer_port: int = 0,
        state: str = "live",
    ) -> None:
        """Enter a host in the host list of each region, at the port reachable from there."""
        for region, hosts in self.hosts_by_region.items():
            region_pair = (region, plan.region)
            entry = {
                "host": plan.name,
                "address": LOOPBACK,
                "port": self._reachable_port(region_pair, port),
                "kind": kind,
                "region": plan.region,
                "data_centre": plan.data_centre,
                "state": state,
                "peer_port": self._reachable_port(region_pair, peer_port),
            }
            hosts.call("PUT", f"/v1/hosts/{plan.name}", entry)

    def _reachable_port(self, region_pair: tuple[str, str], port: int) -> int:
        link = self.links_by_region_pair.get(region_pair)
        if link is None or not port:
            return port
        return link.call("PUT", f"/targets/{LOOPBACK}/{port}")["port"]

    def _start_standin(self, *arguments: str) -> StandinProcess:
        return self._stack.enter_context(StandinProcess(*arguments))

    def _start_engine(self, plan: SidecarPlan) -> StandinProcess:
        options = ["--name", plan.name, "--region", plan.region]
        options += ["--data-centre", plan.data_centre, "--weights", self.weights.url]
        options.append("--checks-fence" if plan.checks_fence else "--no-checks-fence")
        engine = self._start_standin("engine", *options, *plan.engine)
        self.engines_by_name[plan.name] = engine
        return engine

    def _build_common_settings(self, name: str, region: str, data_centre: str) -> dict[str, object]:
        # The store is in the region of the first gateway.
        region_pair = (region, self._plan.gateways[0].region)
        return {
            "host": name,
            "address": LOOPBACK,
            "region": region,
            "data_centre": data_centre,
            "store_url": f"http://{LOOPBACK}:{self._reachable_port(region_pair, self.store.port)}",
            "hosts_url": self.hosts_by_region[region].url,
        }

    def _write_settings(self, name: str, settings: dict[str, object]) -> Path:
        path = self.folder / f"{name}.yaml"
        with path.open("w") as file:
            YAML().dump(settings, file)
        self._settings_by_name[name] = path
        return path

"""
kingcupdyke_standins.site
~~~~~~~~~~~~~~~~~~~~~~~~~

A small site of separate processes: the platform's stand-ins, engines, services and daemons.
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
#: Processes that are started at once.
MOST_STARTS = 6


class SidecarPlan(NamedTuple):
    """An endpoint host: a sidecar before an engine or services."""

    name: str
    region: str
    data_centre: str
    #: Options of the engine's stand-in; None where there is no engine.
    engine: tuple[str, ...] | None = None
    #: Options of each service's stand-in, by the service's name.
    services: tuple[tuple[str, tuple[str, ...]], ...] = ()
    checks_fence: bool = True


class GatewayPlan(NamedTuple):
    """An entry host."""

    name: str
    region: str
    data_centre: str


class SitePlan(NamedTuple):
    """What a site is made of."""

    gateways: tuple[GatewayPlan, ...]
    sidecars: tuple[SidecarPlan, ...]
    #: Settings that all gateways have beside their place.
    gateway_settings: dict[str, object] = {}
    #: Settings that all sidecars have beside their place.
    sidecar_settings: dict[str, object] = {}
    store: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    weights: tuple[str, ...] = ()
    #: Options of the link between regions; None: regions reach each other directly.
    link: tuple[str, ...] | None = None


class Site:
    """Starts the processes of a plan and kills what still runs after the ``with`` block.

    :param plan: what to start
    """

    def __init__(self, plan: SitePlan) -> None:
        self._plan = plan
        self._stack = ExitStack()
        #: Folder of the settings files, gone with the site.
        self.folder = Path()
        self._settings_by_name: dict[str, Path] = {}
        self.store: StandinProcess | None = None
        #: The host list as each region sees it.
        self.hosts_by_region: dict[str, StandinProcess] = {}
        #: The way from one region into another.
        self.links_by_way: dict[tuple[str, str], StandinProcess] = {}
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
            for way in permutations(self._regions, 2):
                if self._plan.link is not None:
                    self.links_by_way[way] = self._start_standin("link", *self._plan.link)
            self.weights = self._start_standin("weights", *self._plan.weights)
            with ThreadPoolExecutor(MOST_STARTS) as pool:
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
        """:return: a gateway by name, or any that runs"""
        if name is not None:
            return self.gateways_by_name[name]
        running = [each for each in self.gateways_by_name.values() if each.is_running()]
        return Random().choice(running)

    def violations(self) -> list[str]:
        """:return: what the stand-ins saw that must never be"""
        standins = [*self.engines_by_name.values(), self.weights, self.store]
        for processes in self.services_by_name.values():
            standins += processes
        return [text for each in standins if each.is_running() for text in each.violations()]

    def start_sidecar(self, plan: SidecarPlan) -> DaemonProcess:
        """Start an endpoint host with what stands behind its sidecar."""
        settings = self._make_common(plan.name, plan.region, plan.data_centre)
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
        """Start the sidecar of an endpoint host again, beside what stands behind it."""
        process = self._stack.enter_context(
            DaemonProcess("sidecar", self._settings_by_name[plan.name])
        )
        self.sidecars_by_name[plan.name] = process
        self.list_host(plan, "sidecar", process.port)
        return process

    def start_gateway(self, plan: GatewayPlan) -> DaemonProcess:
        """Start an entry host."""
        settings = self._make_common(plan.name, plan.region, plan.data_centre)
        self._write_settings(plan.name, settings | self._plan.gateway_settings)
        process = self._stack.enter_context(
            DaemonProcess("gateway", self._settings_by_name[plan.name])
        )
        self.gateways_by_name[plan.name] = process
        self.list_host(plan, "gateway", process.port, process.ports_by_word["peers"])
        return process

    def list_host(
        self,
        plan: SidecarPlan | GatewayPlan,
        kind: str,
        port: int,
        peer_port: int = 0,
        state: str = "live",
    ) -> None:
        """Enter a host in the platform's list, as each region reaches it."""
        for region, hosts in self.hosts_by_region.items():
            way = (region, plan.region)
            entry = {
                "host": plan.name,
                "address": LOOPBACK,
                "port": self._reach(way, port),
                "kind": kind,
                "region": plan.region,
                "data_centre": plan.data_centre,
                "state": state,
                "peer_port": self._reach(way, peer_port),
            }
            hosts.call("PUT", f"/v1/hosts/{plan.name}", entry)

    def _reach(self, way: tuple[str, str], port: int) -> int:
        link = self.links_by_way.get(way)
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

    def _make_common(self, name: str, region: str, data_centre: str) -> dict[str, object]:
        # The store stands in the region of the first gateway.
        way = (region, self._plan.gateways[0].region)
        return {
            "host": name,
            "address": LOOPBACK,
            "region": region,
            "data_centre": data_centre,
            "store_url": f"http://{LOOPBACK}:{self._reach(way, self.store.port)}",
            "hosts_url": self.hosts_by_region[region].url,
        }

    def _write_settings(self, name: str, settings: dict[str, object]) -> Path:
        path = self.folder / f"{name}.yaml"
        with path.open("w") as file:
            YAML().dump(settings, file)
        self._settings_by_name[name] = path
        return path

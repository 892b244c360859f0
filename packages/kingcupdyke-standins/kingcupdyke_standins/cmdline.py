"""
kingcupdyke_standins.cmdline
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command line of the stand-ins.
"""

from dataclasses import dataclass
from typing import Annotated

import cappa
from cappa import Arg, Subcommands

from kingcupdyke.util import get_bytes_opt
from kingcupdyke_standins.asgi import StandinApp
from kingcupdyke_standins.batch import Speed
from kingcupdyke_standins.engine import EngineApp, EngineOptions
from kingcupdyke_standins.hosts import HostsApp
from kingcupdyke_standins.link import LinkApp
from kingcupdyke_standins.order import OrderSettings
from kingcupdyke_standins.server import run_standin
from kingcupdyke_standins.service import ServiceApp
from kingcupdyke_standins.store import StoreApp
from kingcupdyke_standins.weights import WeightsApp

__all__ = ["Standins", "main"]

TextOption = Annotated[str, Arg(long=True)]
IntegerOption = Annotated[int, Arg(long=True)]
FloatOption = Annotated[float, Arg(long=True)]


@dataclass
class _ListenOptions:
    """Address and port on which a stand-in listens; port 0 lets the system choose."""

    address: TextOption = "127.0.0.1"
    port: IntegerOption = 0


@cappa.command(name="store")
@dataclass
class StoreCommand(_ListenOptions):
    """The platform's object store."""

    #: Calls allowed per second; calls above the limit are rejected.
    writes_per_s: FloatOption = 400.0
    reads_per_s: FloatOption = 2000.0

    def build(self) -> StandinApp:
        """:return: the application"""
        return StoreApp(self.writes_per_s, self.reads_per_s)


@cappa.command(name="hosts")
@dataclass
class HostsCommand(_ListenOptions):
    """The platform's list of hosts."""

    #: Seconds until a change becomes visible.
    lag: FloatOption = 0.0

    def build(self) -> StandinApp:
        """:return: the application"""
        return HostsApp(self.lag)


@cappa.command(name="weights")
@dataclass
class WeightsCommand(_ListenOptions):
    """The weight store."""

    #: Loads allowed to start per second.
    per_s: FloatOption = 1.0
    #: Concurrent loads that run at full speed; more loads share that throughput.
    full_speed: IntegerOption = 6
    #: Throughput of one load at full speed, per second.
    bytes_per_s: TextOption = "10GB"

    def build(self) -> StandinApp:
        """:return: the application"""
        bytes_per_s = get_bytes_opt({"bytes-per-s": self.bytes_per_s}, "bytes-per-s")
        return WeightsApp(self.per_s, self.full_speed, bytes_per_s)


@cappa.command(name="engine")
@dataclass
class EngineCommand(_ListenOptions):
    """A model engine."""

    name: TextOption = "engine"
    #: Accelerator memory.
    capacity: TextOption = "80GB"
    #: Base URL of the weight store; without one, each load takes a fixed short time.
    weights: TextOption = ""
    #: Whether orders with a stale fencing number are rejected.
    checks_fence: Annotated[bool, Arg(long="--checks-fence/--no-checks-fence")] = True
    region: TextOption = ""
    data_centre: TextOption = ""
    #: Saturation point: concurrent adapter loads above which each takes proportionally longer.
    adapter_knee: IntegerOption = 50
    #: Models that are resident at the start, as NAME=SIZE,NAME=SIZE.
    models: TextOption = ""
    token_ms: FloatOption = 5.0
    #: Milliseconds per token that each further request in the batch adds.
    batch_slope_ms: FloatOption = 0.2
    first_token_ms: FloatOption = 20.0
    #: Requests that run concurrently.
    slots: IntegerOption = 32
    #: Capacity of the prefix cache in prompt blocks.
    cache_blocks: IntegerOption = 2000
    #: Seconds by which the load report lags behind the load.
    load_lag: FloatOption = 0.5

    def build(self) -> StandinApp:
        """:return: the application"""
        speed = Speed(self.token_ms, self.batch_slope_ms, self.first_token_ms, self.slots)
        options = EngineOptions(
            self.name,
            get_bytes_opt({"capacity": self.capacity}, "capacity"),
            self.checks_fence,
            _read_models(self.models),
            speed,
            OrderSettings(self.region, self.adapter_knee, self.weights),
            self.cache_blocks,
            self.load_lag,
        )
        return EngineApp(options)


@cappa.command(name="service")
@dataclass
class ServiceCommand(_ListenOptions):
    """A plain service."""

    #: Duration of a call in milliseconds.
    work_ms: FloatOption = 5.0

    def build(self) -> StandinApp:
        """:return: the application"""
        return ServiceApp(self.work_ms / 1000)


@cappa.command(name="link")
@dataclass
class LinkCommand(_ListenOptions):
    """The link between two regions."""

    #: One-way latency in milliseconds.
    delay_ms: FloatOption = 0.0
    #: Throughput of each direction in bytes per second; 0 is unlimited.
    bytes_per_s: FloatOption = 0.0

    def build(self) -> StandinApp:
        """:return: the application"""
        return LinkApp(self.delay_ms / 1000, self.bytes_per_s)


@dataclass
class Standins:
    """Stand-ins for the external systems and the links between regions."""

    command: Subcommands[
        StoreCommand | HostsCommand | WeightsCommand | EngineCommand | ServiceCommand | LinkCommand
    ]


def main() -> None:
    """Run the stand-in that the command line names."""
    command = cappa.parse(Standins).command
    run_standin(command.build(), command.address, command.port)


def _read_models(text: str) -> dict[str, int]:
    pairs = [part.split("=", 1) for part in text.split(",") if part]
    return {name: get_bytes_opt({"models": size}, "models") for name, size in pairs}

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

Text = Annotated[str, Arg(long=True)]
Whole = Annotated[int, Arg(long=True)]
Number = Annotated[float, Arg(long=True)]


@dataclass
class _ListenOptions:
    """Where a stand-in listens."""

    address: Text = "127.0.0.1"
    port: Whole = 0


@cappa.command(name="store")
@dataclass
class StoreCommand(_ListenOptions):
    """The platform's object store."""

    #: Calls that pass in a second; more are refused.
    writes_per_s: Number = 400.0
    reads_per_s: Number = 2000.0

    def build(self) -> StandinApp:
        """:return: the application"""
        return StoreApp(self.writes_per_s, self.reads_per_s)


@cappa.command(name="hosts")
@dataclass
class HostsCommand(_ListenOptions):
    """The platform's list of hosts."""

    #: Seconds until a change shows.
    lag: Number = 0.0

    def build(self) -> StandinApp:
        """:return: the application"""
        return HostsApp(self.lag)


@cappa.command(name="weights")
@dataclass
class WeightsCommand(_ListenOptions):
    """The weight store."""

    #: Loads that begin in a second.
    per_s: Number = 1.0
    #: Loads in progress that go at full speed.
    full_speed: Whole = 6
    #: Rate of a load at full speed.
    bytes_per_s: Text = "10GB"

    def build(self) -> StandinApp:
        """:return: the application"""
        bytes_per_s = get_bytes_opt({"bytes-per-s": self.bytes_per_s}, "bytes-per-s")
        return WeightsApp(self.per_s, self.full_speed, bytes_per_s)


@cappa.command(name="engine")
@dataclass
class EngineCommand(_ListenOptions):
    """A model engine."""

    name: Text = "engine"
    capacity: Text = "80GB"
    #: Base address of the weight store; without one a load takes a fixed short time.
    weights: Text = ""
    checks_fence: Annotated[bool, Arg(long="--checks-fence/--no-checks-fence")] = True
    region: Text = ""
    data_centre: Text = ""
    #: Adapter loads in flight above which each takes proportionally longer.
    adapter_knee: Whole = 50
    #: Models resident at the start, as NAME=SIZE,NAME=SIZE.
    models: Text = ""
    token_ms: Number = 5.0
    #: Milliseconds a token that each other request of the batch adds.
    batch_slope_ms: Number = 0.2
    first_token_ms: Number = 20.0
    #: Requests that run at once.
    slots: Whole = 32
    #: Prompt blocks of the prefix cache.
    cache_blocks: Whole = 2000
    #: Seconds by which the load report lags.
    load_lag: Number = 0.5

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

    work_ms: Number = 5.0

    def build(self) -> StandinApp:
        """:return: the application"""
        return ServiceApp(self.work_ms / 1000)


@cappa.command(name="link")
@dataclass
class LinkCommand(_ListenOptions):
    """The link between two regions."""

    #: Milliseconds one way.
    delay_ms: Number = 0.0
    #: Rate of each direction; 0 is without bound.
    bytes_per_s: Number = 0.0

    def build(self) -> StandinApp:
        """:return: the application"""
        return LinkApp(self.delay_ms / 1000, self.bytes_per_s)


@dataclass
class Standins:
    """Stand-ins for what the system meets outside."""

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

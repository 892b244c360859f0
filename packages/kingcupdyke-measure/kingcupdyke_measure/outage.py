"""
kingcupdyke_measure.outage
~~~~~~~~~~~~~~~~~~~~~~~~~~

Injects faults in the middle of a policy run.
"""

from collections.abc import Callable
from typing import NamedTuple

from anyio import sleep, to_thread

from kingcupdyke_standins.site import Site

__all__ = ["OUTAGES_BY_NAME", "Outage", "inject_outage"]

#: Seconds from the start of the load to the fault.
_FAULT_DELAY_S = 5.0


class Outage(NamedTuple):
    """A fault: how it begins and ends, and the seconds that it lasts."""

    begin: Callable[[Site], None]
    end: Callable[[Site], None]
    duration_s: float


def _kill_engine(site: Site) -> None:
    next(iter(site.engines_by_name.values())).kill()


def _get_model_sidecar(site: Site) -> object:
    return site.sidecars_by_name[next(iter(site.engines_by_name))]


def _set_partition(site: Site, is_partitioned: bool) -> None:
    for link in site.links_by_region_pair.values():
        link.set_faults(cut=is_partitioned)


def _do_nothing(site: Site) -> None:
    pass


#: Faults by their names in the settings of scenarios.
OUTAGES_BY_NAME = {
    "engine-killed": Outage(_kill_engine, _do_nothing, 0.0),
    "sidecar-paused": Outage(
        lambda site: _get_model_sidecar(site).freeze(),
        lambda site: _get_model_sidecar(site).thaw(),
        8.0,
    ),
    "store-down": Outage(
        lambda site: site.store.set_faults(down=True),
        lambda site: site.store.set_faults(down=False),
        30.0,
    ),
    "regions-parted": Outage(
        lambda site: _set_partition(site, True), lambda site: _set_partition(site, False), 12.0
    ),
}


async def inject_outage(site: Site, name: str) -> None:
    """Begin a fault while the load runs, and end it after its duration."""
    outage = OUTAGES_BY_NAME[name]
    await sleep(_FAULT_DELAY_S)
    await to_thread.run_sync(outage.begin, site)
    await sleep(outage.duration_s)
    await to_thread.run_sync(outage.end, site)

"""
kingcupdyke_measure.slopes
~~~~~~~~~~~~~~~~~~~~~~~~~~

Measures slopes, which are costs by the size that they depend on, and writes their reports.
"""

import os
import platform
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from kingcupdyke_measure.meter import Row
from kingcupdyke_measure.slopescore import list_core_rows
from kingcupdyke_measure.slopesfleet import list_fleet_rows
from kingcupdyke_measure.slopesheld import list_held_rows
from kingcupdyke_measure.slopessite import list_site_rows
from kingcupdyke_measure.slopestoken import list_token_rows
from kingcupdyke_measure.slopeswire import list_wire_rows

__all__ = ["SLOPES_BY_NAME", "format_rows", "measure_slopes"]

#: Functions that measure a group of slopes, by the group's name on the command line.
SLOPES_BY_NAME: dict[str, Callable[[int], Iterator[Row]]] = {
    "core": list_core_rows,
    "wire": list_wire_rows,
    "held": list_held_rows,
    "token": list_token_rows,
    "site": list_site_rows,
    "fleet": list_fleet_rows,
}


def measure_slopes(names: Iterable[str], seed: int, folder: Path) -> None:
    """Measure groups of slopes one after the other and write a report file for each.

    :param names: keys of :data:`SLOPES_BY_NAME`
    :param seed: seed of random choices
    :param folder: folder of the report files
    """
    folder.mkdir(parents=True, exist_ok=True)
    for name in names:
        rows = []
        for row in SLOPES_BY_NAME[name](seed):
            print(_format_row(row), flush=True)
            rows.append(row)
        command = f"python -m kingcupdyke_measure slopes --only {name} --seed {seed}"
        (folder / f"slopes-{name}.txt").write_text(format_rows(command, rows))


def format_rows(command: str, rows: Iterable[Row]) -> str:
    """:return: the text of a report, with the command and the environment in which it ran"""
    environment = (
        f"{os.cpu_count()} cores, Python {platform.python_version()}, {platform.machine()}"
    )
    header = [f"# {command}", f"# {environment}; other work ran on the machine, so take ratios", ""]
    return "\n".join([*header, *map(_format_row, rows), ""])


def _format_row(row: Row) -> str:
    return f"{row.label:44} {row.size:34} {row.value:14.2f} {row.unit}"

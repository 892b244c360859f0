"""
kingcupdyke_measure.cmdline
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command line of the measurements.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from cappa import Arg, Subcommands

from kingcupdyke_measure.slopes import SLOPES_BY_NAME, measure_slopes

__all__ = ["main"]


@cappa.command(name="slopes")
@dataclass
class SlopesCommand:
    """Measure what a request, a token, a change or a peer costs, by size."""

    only: Annotated[str, Arg(long=True, help=f"one of {', '.join(SLOPES_BY_NAME)}")] = ""
    seed: Annotated[int, Arg(long=True)] = 7
    out: Annotated[Path, Arg(long=True)] = Path("docs/measurements")

    def run(self) -> None:
        """Measure and write one text file for each part."""
        measure_slopes([self.only] if self.only else list(SLOPES_BY_NAME), self.seed, self.out)


@dataclass
class Measurements:
    """Measurements of kingcupdyke."""

    command: Subcommands[SlopesCommand]


def main() -> None:
    """Run the measurement that the command line names."""
    cappa.parse(Measurements).command.run()

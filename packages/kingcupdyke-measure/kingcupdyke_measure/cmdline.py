"""
kingcupdyke_measure.cmdline
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command line of the measurements and simulations.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
from cappa import Arg, Subcommands

from kingcupdyke_measure.chart import draw_reports
from kingcupdyke_measure.policy import run_scenario
from kingcupdyke_measure.scenario import list_scenarios
from kingcupdyke_measure.simulationplan import list_simulations, load_simulation
from kingcupdyke_measure.simulationreport import format_simulation
from kingcupdyke_measure.simulator import simulate
from kingcupdyke_measure.slopes import SLOPES_BY_NAME, measure_slopes
from kingcupdyke_measure.user import USERS_BY_NAME

__all__ = ["main"]


@cappa.command(name="slopes")
@dataclass
class SlopesCommand:
    """Measure the cost of a request, token, change or peer by size."""

    only: Annotated[str, Arg(long=True, help=f"one of {', '.join(SLOPES_BY_NAME)}")] = ""
    seed: Annotated[int, Arg(long=True)] = 7
    out: Annotated[Path, Arg(long=True)] = Path("docs/measurements")

    def run(self) -> None:
        """Measure and write a text file for each group of slopes."""
        measure_slopes([self.only] if self.only else list(SLOPES_BY_NAME), self.seed, self.out)


@cappa.command(name="policy")
@dataclass
class PolicyCommand:
    """Run users' scenarios with the default settings and with baselines."""

    user: Annotated[str, Arg(long=True, help=f"one of {', '.join(USERS_BY_NAME)}")] = ""
    scenario: Annotated[str, Arg(long=True)] = ""
    variant: Annotated[list[str], Arg(long=True)] = field(default_factory=list)
    out: Annotated[Path, Arg(long=True)] = Path("docs/measurements")

    def run(self) -> None:
        """Run scenarios; write a text file for each, and a chart if it ran several variants."""
        for user in [self.user] if self.user else USERS_BY_NAME:
            for name in [self.scenario] if self.scenario else list_scenarios(user):
                print(f"# {user}: {name}", flush=True)
                reports = run_scenario(user, name, self.variant, self.out)
                if len(reports) > 1:
                    draw_reports(reports, f"{user}: {name}", self.out / f"policy-{user}-{name}.png")


@cappa.command(name="model")
@dataclass
class ModelCommand:
    """Simulate loads in virtual time with simulated engines."""

    play: Annotated[str, Arg(long=True, help=f"one of {', '.join(list_simulations())}")] = ""
    seeds: Annotated[int, Arg(long=True, help="simulates with the seeds 1 to this")] = 3

    def run(self) -> None:
        """Run simulations and print their reports."""
        for name in [self.play] if self.play else list_simulations():
            for seed in range(1, self.seeds + 1):
                report = simulate(load_simulation(name), seed)
                served, on_time = report.share(), report.share(on_time=True)
                print(f"# {name}, seed {seed}: {served:.3f} served, {on_time:.3f} on time")
                print("\n".join(format_simulation(report)), flush=True)


@dataclass
class Measurements:
    """Measurements and simulations of kingcupdyke."""

    command: Subcommands[SlopesCommand | PolicyCommand | ModelCommand]


def main() -> None:
    """Run the measurement that the command line names."""
    cappa.parse(Measurements).command.run()

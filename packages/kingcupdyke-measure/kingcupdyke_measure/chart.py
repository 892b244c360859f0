"""
kingcupdyke_measure.chart
~~~~~~~~~~~~~~~~~~~~~~~~~

Charts that compare the runs of one scenario.
"""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from kingcupdyke_measure.report import PolicyReport

__all__ = ["draw_reports"]

_SIZE_INCHES = (9.0, 4.0)


def draw_reports(reports: Sequence[PolicyReport], title: str, path: Path) -> None:
    """Draw the attained requests and the loaded weights of each run into an image file."""
    names = [each.variant for each in reports]
    figure, (left, right) = pyplot.subplots(1, 2, sharey=True, figsize=_SIZE_INCHES)
    left.barh(names, [each.attained_per_accelerator for each in reports], color="tab:blue")
    left.set_xlabel("attained requests per accelerator")
    right.barh(names, [each.moves.loaded_bytes / 1e9 for each in reports], color="tab:orange")
    right.set_xlabel("weights moved, GB")
    left.invert_yaxis()
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=80, metadata={"Software": ""})
    pyplot.close(figure)

"""Pictures of trials; drawn by matplotlib, which only this module asks for, when it is used."""

from __future__ import annotations

from pathlib import Path

from ..exceptions import SequoiaError
from .scene import Scene
from .trial import Trial

SIZE = (9.0, 4.5)
"""Inches."""

SHADE = "0.9"


def draw(path: Path, scene: Scene, trials: list[Trial]) -> None:
    """Draw the share of calls in time over the seconds of a scene, a line for each trial.

    Raises:
        SequoiaError: matplotlib is missing, or the file cannot be written.
    """
    try:
        import matplotlib
    except ImportError:
        raise SequoiaError("Plots need matplotlib: install sequoiabridge[plot].") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=SIZE)
    for fault in scene.faults:
        axes.axvspan(fault.at, fault.at + fault.seconds, color=SHADE, zorder=0)
    for trial in trials:
        starts = sorted({start for figures in trial.figures for start in figures.windows})
        means = [mean_at(trial, start) for start in starts]
        axes.plot(starts, means, label=trial.name)
    axes.set(xlabel="seconds", ylabel="share in time", ylim=(0.0, 1.02), title=scene.name)
    axes.legend(fontsize="small")
    try:
        figure.savefig(path, bbox_inches="tight")
    except (OSError, ValueError) as error:
        raise SequoiaError(f"{path} cannot be written ({error}): name another file.") from error


def mean_at(trial: Trial, start: float) -> float:
    """Return the mean share in time of one window over the seeds that have it."""
    found = [figures.windows[start] for figures in trial.figures if start in figures.windows]
    return sum(found) / len(found)

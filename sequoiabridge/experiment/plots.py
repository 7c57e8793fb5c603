"""Plots of trials. matplotlib is an optional dependency and imported only to draw."""

from __future__ import annotations

from pathlib import Path

from ..exceptions import SequoiaError
from .scene import Scene
from .trial import Trial

FIGURE_SIZE_INCHES = (9.0, 4.5)
"""Width and height of the plot."""

FAULT_COLOUR = "0.9"
"""Grey level of the background while a fault is active."""


def draw(path: Path, scene: Scene, trials: list[Trial]) -> None:
    """Plot the share of requests in time over the time of the scene, one line for each trial.

    Raises:
        SequoiaError: matplotlib is missing, or the file cannot be written.
    """
    try:
        import matplotlib
    except ImportError:
        raise SequoiaError("Plots need matplotlib: install sequoiabridge[plot].") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    for fault in scene.faults:
        axes.axvspan(fault.at, fault.at + fault.seconds, color=FAULT_COLOUR, zorder=0)
    for trial in trials:
        starts = sorted({start for result in trial.results for start in result.in_time_by_window})
        means = [mean_in_time_share(trial, start) for start in starts]
        axes.plot(starts, means, label=trial.name)
    axes.set(xlabel="seconds", ylabel="share in time", ylim=(0.0, 1.02), title=scene.name)
    axes.legend(fontsize="small")
    try:
        figure.savefig(path, bbox_inches="tight")
    except (OSError, ValueError) as error:
        raise SequoiaError(
            f"Cannot write the plot to {path} ({error}): choose another file."
        ) from error


def mean_in_time_share(trial: Trial, start: float) -> float:
    """Return the mean share in time of the window at `start`, over the seeds that have it."""
    shares = [
        result.in_time_by_window[start]
        for result in trial.results
        if start in result.in_time_by_window
    ]
    return sum(shares) / len(shares)

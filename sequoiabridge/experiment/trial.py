"""Plays a scene with many seeds, in several processes, and gathers the figures."""

from __future__ import annotations

from collections.abc import Callable
from multiprocessing import get_context

from .figures import Figures, Mean
from .mechanisms import apply
from .play import play
from .players import OWN
from .scene import Scene

SHOWN = ("worth", "in_time", "late", "refused", "worst", "p99", "probes_per_call")
"""Figures of the table, in its order."""


class Trial:
    """One way to decide, played in one scene.

    Attributes:
        name: What it is called in tables.
        player: Who chooses.
        changes: Limits that are set, by name.
        figures: What each seed came to, in order of the seeds.
    """

    __slots__ = ("name", "player", "changes", "figures")

    def __init__(self, name: str, player: str = OWN, changes: dict[str, float] | None = None):
        self.name = name
        self.player = player
        self.changes = changes or {}
        self.figures: list[Figures] = []

    def mean(self, figure: str) -> Mean:
        """Return the mean of a figure over the seeds."""
        return Mean([getattr(figures, figure) for figures in self.figures])


class Task:
    """One play, for another process."""

    __slots__ = ("scene", "seed", "player", "changes", "trial")

    def __init__(self, scene: Scene, seed: int, trial: Trial, place: int):
        self.scene = scene
        self.seed = seed
        self.player = trial.player
        self.changes = trial.changes
        self.trial = place


def run_task(task: Task) -> tuple[int, Figures]:
    """Play once in this process, which plays nothing else after."""
    apply(task.changes)
    return task.trial, play(task.scene, task.seed, task.player)


def run(
    scene: Scene, trials: list[Trial], seeds: int, jobs: int, progress: Callable[[int, int], None]
) -> None:
    """Play all trials with seeds from 1 on; `progress` hears of plays done and plays in all."""
    tasks = [
        Task(scene, seed, trial, place)
        for place, trial in enumerate(trials)
        for seed in range(1, seeds + 1)
    ]
    # Each play has a process of its own, since limits are set for a whole process.
    with get_context("fork").Pool(jobs, maxtasksperchild=1) as pool:
        for done, (place, figures) in enumerate(pool.imap(run_task, tasks, 1), 1):
            trials[place].figures.append(figures)
            progress(done, len(tasks))

"""Plays a scene with many seeds, in several processes, and gathers the figures."""

from __future__ import annotations

from collections.abc import Callable
from multiprocessing import get_context

from .figures import Mean, RunResult
from .mechanisms import apply_overrides
from .play import simulate
from .players import OWN
from .scene import Scene

REPORTED_FIELDS = ("worth", "in_time", "late", "refused", "worst", "p99", "probes_per_call")
"""Figures of the table, in its order."""


class Trial:
    """One way to decide, played in one scene.

    Attributes:
        name: What it is called in tables.
        strategy: Who chooses.
        overrides: Limits that are set, by name.
        results: What each seed came to, in order of the seeds.
    """

    __slots__ = ("name", "strategy", "overrides", "results")

    def __init__(self, name: str, strategy: str = OWN, overrides: dict[str, float] | None = None):
        self.name = name
        self.strategy = strategy
        self.overrides = overrides or {}
        self.results: list[RunResult] = []

    def mean(self, field: str) -> Mean:
        """Return the mean of a figure over the seeds."""
        return Mean([getattr(result, field) for result in self.results])


class RunTask:
    """One run, for another process."""

    __slots__ = ("scene", "seed", "strategy", "overrides", "trial_index")

    def __init__(self, scene: Scene, seed: int, trial: Trial, trial_index: int):
        self.scene = scene
        self.seed = seed
        self.strategy = trial.strategy
        self.overrides = trial.overrides
        self.trial_index = trial_index


def run_task(task: RunTask) -> tuple[int, RunResult]:
    """Play once in this process, which plays nothing else after."""
    apply_overrides(task.overrides)
    return task.trial_index, simulate(task.scene, task.seed, task.strategy)


def run_trials(
    scene: Scene, trials: list[Trial], seeds: int, jobs: int, progress: Callable[[int, int], None]
) -> None:
    """Play all trials with seeds from 1 on; `progress` hears of plays done and plays in all."""
    tasks = [
        RunTask(scene, seed, trial, trial_index)
        for trial_index, trial in enumerate(trials)
        for seed in range(1, seeds + 1)
    ]
    # Each run has a process of its own, since limits are set for a whole process.
    with get_context("fork").Pool(jobs, maxtasksperchild=1) as pool:
        for done, (trial_index, result) in enumerate(pool.imap(run_task, tasks, 1), 1):
            trials[trial_index].results.append(result)
            progress(done, len(tasks))

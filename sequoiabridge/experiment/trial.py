"""Runs the trials of an experiment in parallel processes and collects their results."""

from __future__ import annotations

from collections.abc import Callable
from multiprocessing import get_context

from .mechanisms import apply_overrides
from .results import Mean, RunResult
from .scene import Scene
from .simulation import simulate
from .strategies import OWN

REPORTED_FIELDS = ("worth", "in_time", "late", "refused", "worst", "p99", "probes_per_call")
"""Fields of `RunResult` that are shown and written, in order."""


class Trial:
    """A balancing strategy, with overrides of its constants, to run with several seeds.

    Attributes:
        name: Label in tables and plots.
        strategy: A key of `players.STRATEGIES`.
        overrides: Values of constants of `balancing`, by `module.NAME`.
        results: Result of each seed, in the order of the seeds.
    """

    __slots__ = ("name", "strategy", "overrides", "results")

    def __init__(self, name: str, strategy: str = OWN, overrides: dict[str, float] | None = None):
        self.name = name
        self.strategy = strategy
        self.overrides = overrides or {}
        self.results: list[RunResult] = []

    def mean(self, field: str) -> Mean:
        """Return the mean of a field of the results over the seeds."""
        return Mean([getattr(result, field) for result in self.results])


class RunTask:
    """Arguments of one run in a worker process."""

    __slots__ = ("scene", "seed", "strategy", "overrides", "trial_index")

    def __init__(self, scene: Scene, seed: int, trial: Trial, trial_index: int):
        self.scene = scene
        self.seed = seed
        self.strategy = trial.strategy
        self.overrides = trial.overrides
        self.trial_index = trial_index


def run_task(task: RunTask) -> tuple[int, RunResult]:
    """Run one task; return the index of its trial and the result.

    The overrides stay set, so the process must not run another task.
    """
    apply_overrides(task.overrides)
    return task.trial_index, simulate(task.scene, task.seed, task.strategy)


def run_trials(
    scene: Scene, trials: list[Trial], seeds: int, jobs: int, progress: Callable[[int, int], None]
) -> None:
    """Run all trials with the seeds from 1 to `seeds`.

    Args:
        jobs: Number of worker processes.
        progress: Called after each run with the number of runs done and of all runs.
    """
    tasks = [
        RunTask(scene, seed, trial, trial_index)
        for trial_index, trial in enumerate(trials)
        for seed in range(1, seeds + 1)
    ]
    # Overrides change module constants, so each run needs a process of its own.
    with get_context("fork").Pool(jobs, maxtasksperchild=1) as pool:
        for done, (trial_index, result) in enumerate(pool.imap(run_task, tasks, 1), 1):
            trials[trial_index].results.append(result)
            progress(done, len(tasks))

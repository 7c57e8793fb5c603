"""`sequoiactl experiment`: simulates a scene to compare changes of the balancing decisions."""

import csv
import sys
from pathlib import Path

from ..exceptions import SequoiaError
from ..experiment.mechanisms import ExperimentError, parse_overrides
from ..experiment.plots import draw
from ..experiment.scene import load_scene
from ..experiment.strategies import OWN, STRATEGIES
from ..experiment.trial import REPORTED_FIELDS, Trial, run_trials
from .tables import format_table

MAX_JOBS = 64
"""Maximum number of parallel processes."""

ORACLE = "oracle"
"""Strategy whose score is the bound for all others."""


def experiment(
    scene: Path,
    *,
    seeds: int = 3,
    set: list[str] | None = None,
    without: list[str] | None = None,
    players: list[str] | None = None,
    plot: Path | None = None,
    csv_file: Path | None = None,
    jobs: int = 4,
) -> int:
    """Simulate a scene with the daemon's decisions, unchanged and changed, and compare the results.

    Args:
        scene: Scene file; examples are in examples/scenes.
        seeds: Number of runs of each trial.
        set: Constants to change, as module.NAME=VALUE.
        without: Mechanisms to disable, each in a trial of its own.
        players: Other balancing strategies to compare with.
        plot: File for a plot of the share in time over time; needs matplotlib.
        csv_file: File for the results of each run.
        jobs: Number of parallel processes.
    """
    trials = build_trials(set or [], without or [], players or [])
    if not 1 <= jobs <= MAX_JOBS or seeds < 1:
        raise ExperimentError(
            f"--jobs must be from 1 to {MAX_JOBS}, --seeds at least 1: change the number"
        )
    loaded_scene = load_scene(scene)
    run_trials(loaded_scene, trials, seeds, jobs, show_progress)
    columns = ["", *REPORTED_FIELDS, "to oracle"]
    print("\n".join(format_table(columns, build_rows(trials))))
    if csv_file is not None:
        write_csv(csv_file, trials)
    if plot is not None:
        draw(plot, loaded_scene, trials)
    return 0


def build_trials(sets: list[str], without: list[str], players: list[str]) -> list[Trial]:
    """Return the trials for the arguments: first the unchanged decisions, last the oracle.

    Raises:
        ExperimentError: A name is unknown; the message lists all that are.
    """
    unknown = [name for name in players if name not in STRATEGIES]
    problems = [f"unknown player {name!r}: use one of {', '.join(STRATEGIES)}" for name in unknown]
    trials = [Trial(OWN)]
    for name, arguments in [
        *((" ".join(sets), (sets, [])) for _ in range(bool(sets))),
        *((f"without {mechanism}", ([], [mechanism])) for mechanism in without),
    ]:
        try:
            trials.append(Trial(name, OWN, parse_overrides(*arguments)))
        except ExperimentError as error:
            problems.append(str(error))
    if problems:
        raise ExperimentError("; ".join(problems))
    trials += [Trial(name, name) for name in players]
    trials.append(Trial(ORACLE, ORACLE))
    return trials


def build_rows(trials: list[Trial]) -> list[list[str]]:
    """Return a row for each trial: its means, and the oracle's worth minus its own."""
    oracle_worth = trials[-1].mean("worth").value
    return [
        [trial.name, *(str(trial.mean(name)) for name in REPORTED_FIELDS)]
        + [f"{oracle_worth - trial.mean('worth').value:+.3f}"]
        for trial in trials
    ]


def write_csv(path: Path, trials: list[Trial]) -> None:
    """Write the results of each run.

    Raises:
        SequoiaError: The file cannot be written.
    """
    try:
        with path.open("w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(["trial", "seed", *REPORTED_FIELDS])
            for trial in trials:
                for seed, result in enumerate(trial.results, 1):
                    writer.writerow(
                        [trial.name, seed, *(getattr(result, n) for n in REPORTED_FIELDS)]
                    )
    except OSError as error:
        raise SequoiaError(
            f"Cannot write the results to {path} ({error}): choose another file."
        ) from error


def show_progress(done: int, total: int) -> None:
    """Show the progress of the runs on standard error if it is a terminal."""
    if sys.stderr.isatty():
        print(f"\r{done} of {total} runs", end="\n" if done == total else "", file=sys.stderr)

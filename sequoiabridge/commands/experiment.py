"""`sequoiactl experiment`: what a change of the decisions is worth in a scene, by the model."""

import csv
import sys
from pathlib import Path

from ..exceptions import SequoiaError
from ..experiment.mechanisms import ExperimentError, parse_overrides
from ..experiment.players import OWN, STRATEGIES
from ..experiment.plots import draw
from ..experiment.scene import load_scene
from ..experiment.trial import REPORTED_FIELDS, Trial, run_trials
from .tables import table

MAX_JOBS = 64
ORACLE = "oracle"


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
    """Play a scene with the daemon's own decisions, as they are and changed, and compare.

    Args:
        scene: File of the scene; some are in examples/scenes.
        seeds: Plays of each way to decide.
        set: Limits to change, as module.NAME=VALUE.
        without: Mechanisms to switch off, each in a row of its own.
        players: Other ways to choose, to compare with.
        plot: Picture of the share in time over time; needs matplotlib.
        csv_file: File for the figures of each play.
        jobs: Processes at a time.
    """
    trials = build_trials(set or [], without or [], players or [])
    if not 1 <= jobs <= MAX_JOBS or seeds < 1:
        raise ExperimentError(f"jobs are 1 to {MAX_JOBS}, seeds 1 at least: change the number")
    loaded_scene = load_scene(scene)
    run_trials(loaded_scene, trials, seeds, jobs, show_progress)
    columns = ["", *REPORTED_FIELDS, "to oracle"]
    print("\n".join(table(columns, build_rows(trials))))
    if csv_file is not None:
        write_csv(csv_file, trials)
    if plot is not None:
        draw(plot, loaded_scene, trials)
    return 0


def build_trials(sets: list[str], without: list[str], players: list[str]) -> list[Trial]:
    """Return the trials that the arguments ask for; the decisions as they are come first.

    Raises:
        ExperimentError: Some name is not known; all such names are in the message.
    """
    unknown = [name for name in players if name not in STRATEGIES]
    problems = [f"no player {name!r}: name one of {', '.join(STRATEGIES)}" for name in unknown]
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
    """Return a row for each trial: its means, and how far its worth is from the oracle's."""
    oracle_worth = trials[-1].mean("worth").value
    return [
        [trial.name, *(str(trial.mean(name)) for name in REPORTED_FIELDS)]
        + [f"{oracle_worth - trial.mean('worth').value:+.3f}"]
        for trial in trials
    ]


def write_csv(path: Path, trials: list[Trial]) -> None:
    """Write the figures of each play.

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
        raise SequoiaError(f"{path} cannot be written ({error}): name another file.") from error


def show_progress(done: int, total: int) -> None:
    """Show how far the plays are, if somebody looks on."""
    if sys.stderr.isatty():
        print(f"\r{done} of {total} plays", end="\n" if done == total else "", file=sys.stderr)

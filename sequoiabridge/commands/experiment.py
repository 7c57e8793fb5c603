"""`sequoiactl experiment`: what a change of the decisions is worth in a scene, by the model."""

import csv
import sys
from pathlib import Path

from ..exceptions import SequoiaError
from ..experiment.mechanisms import BadChange, changes_of
from ..experiment.players import OWN, PLAYERS
from ..experiment.plots import draw
from ..experiment.scene import load_scene
from ..experiment.trial import SHOWN, Trial, run
from .tables import table

MOST_JOBS = 64
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
    trials = trials_of(set or [], without or [], players or [])
    if not 1 <= jobs <= MOST_JOBS or seeds < 1:
        raise BadChange(f"jobs are 1 to {MOST_JOBS}, seeds 1 at least: change the number")
    played = load_scene(scene)
    run(played, trials, seeds, jobs, show_progress)
    columns = ["", *SHOWN, "to oracle"]
    print("\n".join(table(columns, rows_of(trials))))
    if csv_file is not None:
        write_csv(csv_file, trials)
    if plot is not None:
        draw(plot, played, trials)
    return 0


def trials_of(sets: list[str], without: list[str], players: list[str]) -> list[Trial]:
    """Return the trials that the arguments ask for; the decisions as they are come first.

    Raises:
        BadChange: Some name is not known; all such names are in the message.
    """
    unknown = [name for name in players if name not in PLAYERS]
    problems = [f"no player {name!r}: name one of {', '.join(PLAYERS)}" for name in unknown]
    trials = [Trial(OWN)]
    for name, arguments in [
        *((" ".join(sets), (sets, [])) for _ in range(bool(sets))),
        *((f"without {mechanism}", ([], [mechanism])) for mechanism in without),
    ]:
        try:
            trials.append(Trial(name, OWN, changes_of(*arguments)))
        except BadChange as error:
            problems.append(str(error))
    if problems:
        raise BadChange("; ".join(problems))
    trials += [Trial(name, name) for name in players]
    trials.append(Trial(ORACLE, ORACLE))
    return trials


def rows_of(trials: list[Trial]) -> list[list[str]]:
    """Return a row for each trial: its means, and how far its worth is from the oracle's."""
    bound = trials[-1].mean("worth").value
    return [
        [trial.name, *(str(trial.mean(name)) for name in SHOWN)]
        + [f"{bound - trial.mean('worth').value:+.3f}"]
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
            writer.writerow(["trial", "seed", *SHOWN])
            for trial in trials:
                for seed, figures in enumerate(trial.figures, 1):
                    writer.writerow([trial.name, seed, *(getattr(figures, n) for n in SHOWN)])
    except OSError as error:
        raise SequoiaError(f"{path} cannot be written ({error}): name another file.") from error


def show_progress(done: int, total: int) -> None:
    """Show how far the plays are, if somebody looks on."""
    if sys.stderr.isatty():
        print(f"\r{done} of {total} plays", end="\n" if done == total else "", file=sys.stderr)

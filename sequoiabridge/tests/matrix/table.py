"""Plays every cell and pairs of faults in several processes, and prints the table."""

import multiprocessing
from itertools import combinations
from random import Random

from .cells import SEED, Outcome, State, kinds_of, play, play_cell
from .faults import FAULTS
from .sequences import played, strike_in
from .steps import Group, Step

MARKS = {State.HELD: ".", State.ABSENT: "-", State.BROKEN: "X"}
WIDTH = 37
PROCESSES = 6


def cell(numbers: tuple[int, int]) -> Outcome:
    """Play one cell, by the numbers of its row and column."""
    row, column = numbers
    return play_cell(FAULTS[row], list(Step)[column])


def pair(numbers: tuple[int, int, int]) -> tuple[str, list[str]]:
    """Play two faults in one script, at steps drawn from a seed."""
    first, second, seed = numbers
    random = Random(SEED * 1000 + seed)
    group = random.choice(list(Group))
    strikes = [strike_in(FAULTS[row], group, random) for row in (first, second)]
    if None in strikes:
        return "", []
    kind = random.choice(kinds_of(strikes[0].step))
    return repr(strikes), play(strikes, group, kind, SEED + seed)


def print_table(outcomes: dict[tuple[int, int], Outcome]) -> None:
    """Print faults against steps."""
    for number, step in enumerate(Step, start=1):
        print(f"{number:3} {step.group.value}: {step.title}")
    print(" " * WIDTH + "".join(f"{number:3}" for number in range(1, len(Step) + 1)))
    for row, fault in enumerate(FAULTS):
        marks = [MARKS[outcomes[row, column].state] for column in range(len(Step))]
        print(f"{fault.name:{WIDTH}}" + "".join(f"{mark:>3}" for mark in marks))
    print(". held, - cannot occur, X BROKEN")


def print_reasons(outcomes: dict[tuple[int, int], Outcome]) -> None:
    """Print why cells cannot occur, and what is broken in those that are."""
    reasons: dict[tuple[int, str], list[str]] = {}
    for (row, column), outcome in outcomes.items():
        title = list(Step)[column].title
        if outcome.state is State.ABSENT:
            reasons.setdefault((row, outcome.reason), []).append(title)
        for line in outcome.found[:5]:
            print(f"BROKEN {FAULTS[row].name} at {title}: {line}")
    for (row, reason), titles in reasons.items():
        print(f"cannot occur: {FAULTS[row].name} at {', '.join(titles)}: {reason}")


def main(
    *, pairs: int = 400, sequences: int = 200, processes: int = PROCESSES, only: str = ""
) -> int:
    """Play the matrix.

    :param pairs: Pairs of faults to play, drawn from a seed.
    :param sequences: Sequences of three to six faults to play, drawn from a seed.
    :param processes: Processes that play cells side by side.
    :param only: Play only the rows whose name has this text.
    """
    rows = [row for row, fault in enumerate(FAULTS) if only in fault.name]
    cells = [(row, column) for row in rows for column in range(len(Step))]
    both = list(combinations(range(len(FAULTS)), 2))
    drawn = [(*both[n % len(both)], n) for n in range(pairs)] if not only else []
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        outcomes = dict(zip(cells, pool.map(cell, cells, chunksize=4), strict=True))
        paired = [result for result in pool.map(pair, drawn, chunksize=4) if result[0]]
        longer = pool.map(played, range(0 if only else sequences), chunksize=4)
        # Workers may not heed the signal by which the pool ends them otherwise.
        pool.close()
        pool.join()
    if not only:
        print_table(outcomes)
    print_reasons(outcomes)
    broken_pairs = [(name, found) for name, found in paired if found]
    for name, found in broken_pairs:
        print(f"BROKEN pair {name}: {found[0]}")
    broken_longer = [(name, found) for name, found in longer if found]
    for name, found in broken_longer:
        print(f"BROKEN {name}: {found[0]}")
    states = [outcome.state for outcome in outcomes.values()]
    broken = states.count(State.BROKEN) + len(broken_pairs) + len(broken_longer)
    print(
        f"cells {len(states)}, held {states.count(State.HELD)}, "
        f"cannot occur {states.count(State.ABSENT)}, broken {broken}, pairs {len(paired)}, "
        f"sequences {len(longer)}"
    )
    return 1 if broken else 0

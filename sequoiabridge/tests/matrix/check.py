"""`make matrix-check`: breaks the code on purpose; the matrix must see each break."""

import multiprocessing
import sys

import defopt

from .mutants import MUTANTS

PROCESSES = 8


def look(number: int) -> tuple[str, str]:
    """Play the cells of one mutant; return which sees it, and what it found."""
    return MUTANTS[number].seen_by()


def main(*, processes: int = PROCESSES, only: str = "") -> int:
    """Play each mutant against the cells that can see it.

    :param processes: Processes that play side by side.
    :param only: Play only the mutants whose name has this text.
    """
    numbers = [n for n, mutant in enumerate(MUTANTS) if only in mutant.name]
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        results = pool.map(look, numbers, chunksize=1)
    holes = 0
    for number, (cell, found) in zip(numbers, results, strict=True):
        holes += not cell
        print(f"{MUTANTS[number].name}: {f'seen by {cell}: {found}' if cell else 'HOLE'}")
    print(f"mutants {len(numbers)}, seen {len(numbers) - holes}, holes {holes}")
    return 1 if holes else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))

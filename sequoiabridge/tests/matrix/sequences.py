"""Several faults at random steps of one script: what the pairs of the table do not reach."""

from random import Random

from ...benchmarks.oracle import Kind
from .cells import SEED, Strike, kinds_of, moments_of, play
from .faults import FAULTS, Fault
from .steps import Group, Step

FEWEST, MOST = 3, 6
"""Faults in one sequence."""


def strike_in(fault: Fault, group: Group, random: Random) -> Strike | None:
    """Return a fault at one of the steps of a group at which it can occur, or None."""
    steps = [step for step in Step if step.group is group and not fault.absent(step)]
    if not steps:
        return None
    step = random.choice(steps)
    return Strike(fault, step, random.choice(moments_of(fault, step)))


def sequence(random: Random) -> tuple[list[Strike], Group, Kind]:
    """Draw faults and their steps, and the script in which they strike."""
    group = random.choice(list(Group))
    faults = [
        fault for fault in FAULTS if any(s.group is group and not fault.absent(s) for s in Step)
    ]
    count = random.randint(FEWEST, MOST)
    strikes = [strike_in(random.choice(faults), group, random) for _ in range(count)]
    return strikes, group, random.choice(kinds_of(strikes[0].step))


def played(seed: int) -> tuple[str, list[str]]:
    """Play the sequence of a seed; return its name and what is broken."""
    strikes, group, kind = sequence(Random(SEED * 1000 + seed))
    return f"sequence {seed} {kind.value} {strikes}", play(strikes, group, kind, SEED + seed)

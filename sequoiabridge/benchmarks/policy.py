"""The real policy code against a small fake pool: tail latency, calls in window, cost of measuring.

Run as `make bench-policy`. Seeded; 13 and 18 choosers, 15 instances of 2 slots. Each baseline is
compared with ours at the same paid probes per 1,000 calls.
"""

import sys
from multiprocessing import Pool
from random import Random

from .policy_players import Entry, Player
from .policy_pool import SLOTS, SPEED, FakePool, Instance

INSTANCES, CORES, FIRST = 15, 4, 0.5
"""Instances, processes of this script, and seconds of warm-up that are not counted."""

RUNS = ((13, 1), (18, 2), (18, 3))
"""(VMs, seed) of the runs that make up one figure."""

QUICK, SLOW = 0.006, 0.05
"""Mean seconds of work of a call: manifest checks, and dashboards."""

SECONDS = {QUICK: 5.0, SLOW: 16.0}
WINDOW = 8.0
"""Agreed window, as a multiple of the mean work, plus both ways."""

LEVEL = 0.03
"""A row is level when p99 and the share out of window both differ by at most this share."""

PAID = 1000.0
"""Probes per 1,000 calls at which the probing baselines and ours are compared."""

FREE_BASELINES = ("random", "round-robin", "least-own", "two-choices")
PAID_BASELINES = ("probe-pool", "probe-load")
FAULTS = ("straggler", "fast-failing", "draining", "cold", "lying")
SCENES = [(load, "") for load in (0.5, 0.7, 0.85, 0.95)]
SCENES += [(load, fault) for fault in FAULTS for load in (0.7, 0.85)]
CURVE_SCENES = ((0.7, ""), (0.85, ""), (0.95, ""), (0.85, "straggler"), (0.85, "cold"))

CURVE = (
    ("no probes", Entry("evidence", 0.0, 0.0)),
    ("Kaleva", Entry("evidence", 20.0, 0.2)),
    ("", Entry("evidence", 200.0, 0.5)),
    ("Norrvik", Entry("evidence", 1000.0, 0.8)),
    ("", Entry("evidence", 2000.0, 0.9)),
    ("", Entry("evidence", 5000.0, 1.0)),
    ("no probes, VMs tell of ejections", Entry("evidence", 0.0, 0.0, share=True)),
)


class Figures:
    """What one way to play came to in one scene, over all runs."""

    __slots__ = ("p50", "p99", "p999", "missed", "probes", "bytes")

    def __init__(self, latencies, window, probes, size, calls):
        latencies.sort()
        self.p50, self.p99, self.p999 = (
            1000 * latencies[min(len(latencies) - 1, int(share * len(latencies)))]
            for share in (0.5, 0.99, 0.999)
        )
        self.missed = sum(latency > window for latency in latencies) / len(latencies)
        self.probes, self.bytes = 1000 * probes / calls, 1000 * size / calls

    def __str__(self):
        return (
            f"p50 {self.p50:6.1f} p99 {self.p99:6.1f} p99.9 {self.p999:6.1f} ms, in window "
            f"{1 - self.missed:7.2%}, per 1000 calls {self.probes:5.0f} probes {self.bytes:7.0f} B"
        )


class Case:
    """One cell of the tables: a way to play in a scene."""

    __slots__ = ("entry", "load", "fault", "work")

    def __init__(self, entry, load, fault, work=QUICK):
        self.entry, self.load, self.fault, self.work = entry, load, fault, work


def play(case, vms, seed):
    """Run one case once; return the fake pool and its players."""
    names = [f"u{i}" for i in range(INSTANCES)]
    instances = {
        name: Instance(name, Random(seed * 100 + i), case.fault if i == 0 else "")
        for i, name in enumerate(names)
    }
    late = "u0" if case.fault == "cold" else ""
    players = [Player(case.entry, names, late, Random(seed * 1000 + i)) for i in range(vms)]
    rate = INSTANCES * SLOTS * SPEED / case.work * case.load
    fake = FakePool(players, instances, rate, case.work, SECONDS[case.work], seed, FIRST)
    for player in players:
        player.fake, player.peers = fake, [p for p in players if p is not player]
    fake.run()
    return fake, players


def measure(case):
    """Run one case with every seed and return its `Figures`."""
    latencies, probes, size, calls = [], 0, 0, 0
    for vms, seed in RUNS:
        fake, players = play(case, vms, seed)
        latencies += fake.latencies
        probes += sum(p.spent_probes for p in players)
        size += sum(p.spent_bytes for p in players)
        calls += fake.calls
    return Figures(latencies, WINDOW * case.work + 0.002, probes, size, calls)


def judge(ours, theirs):
    """Return "ahead", "level" or "behind" for ours against a baseline."""
    ratios = [ours.p99 / theirs.p99, (ours.missed + 1e-9) / (theirs.missed + 1e-9)]
    if max(ratios) > 1 + LEVEL:
        return "behind"
    return "ahead" if max(ratios) < 1 - LEVEL else "level"


def entries(fault):
    """Return our entries and each baseline with the index of ours that it is compared with."""
    ours = [Entry("evidence"), Entry("evidence", PAID, 1.0)]
    baselines = [(Entry(kind), 0) for kind in FREE_BASELINES]
    if fault:
        baselines += [(Entry(kind, ejects=True), 0) for kind in ("least-own", "two-choices")]
    return ours, baselines + [(Entry(kind, PAID), 1) for kind in PAID_BASELINES]


def print_scene(load, fault, measured, counts):
    """Print one scene: ours, then each baseline with the verdict."""
    ours, baselines = entries(fault)
    print(f"\nload {load:.0%}{', ' + fault if fault else ''}")
    own = [next(measured) for _ in ours]
    for entry, figures in zip(ours, own, strict=True):
        print(f"  {'ours, probes ' + format(entry.probes, '.0f'):22} {figures}")
    for entry, index in baselines:
        figures = next(measured)
        verdict = judge(own[index], figures)
        counts[verdict] += 1
        print(f"  {entry.name:22} {figures}  -> {verdict}")


def print_curve(work, measured):
    """Print what more probes buy: the curve on which the operators' settings are points."""
    scenes = ", ".join(f"{load:.0%} {fault}".strip() for load, fault in CURVE_SCENES)
    print(f"\ncost and tail, calls of {work * 1000:.0f} ms; p99 in ms at {scenes}")
    for label, entry in CURVE:
        cells = [next(measured) for _ in CURVE_SCENES]
        count = len(cells)
        probes, size = sum(c.probes for c in cells) / count, sum(c.bytes for c in cells) / count
        missed = sum(c.missed for c in cells) / count
        print(
            f"  probes_per_1000 {entry.probes:4.0f} tail_weight {entry.tail_weight:.1f}: spent "
            f"{probes:5.0f} probes {size:7.0f} B, p99 {' '.join(f'{c.p99:6.1f}' for c in cells)}, "
            f"in window {1 - missed:.2%}  {label}"
        )


def main():
    """Measure all cases and print the tables."""
    cases = []
    for load, fault in SCENES:
        ours, baselines = entries(fault)
        cases += [Case(e, load, fault) for e in ours + [b for b, _ in baselines]]
    for work in (QUICK, SLOW):
        cases += [Case(e, *scene, work) for _, e in CURVE for scene in CURVE_SCENES]
    print(f"level: p99 and the share out of window both within {LEVEL:.0%}; ahead: both better")
    print("by more; behind: either worse by more. A failed call counts as 1,000 ms. Baselines")
    print("honour drains and slow starts; they eject only where the name says so.")
    counts = {"ahead": 0, "level": 0, "behind": 0}
    with Pool(CORES) as pool:
        measured = pool.imap(measure, cases)
        for load, fault in SCENES:
            print_scene(load, fault, measured, counts)
        for work in (QUICK, SLOW):
            print_curve(work, measured)
    print(f"\nrows {sum(counts.values())}, " + ", ".join(f"{k} {v}" for k, v in counts.items()))


if __name__ == "__main__":
    sys.exit(main())

"""What became of the calls of one play, and what that is worth."""

from __future__ import annotations

from enum import Enum
from math import sqrt

WINDOW = 2.0
"""Seconds of one window; the worst two of a play count."""

WORST_WINDOWS = 2

DAY, WORST, CLASS, SERVED = 0.28, 0.40, 0.12, 0.20
"""Weights of the whole play, its worst windows, its worst kind of call, and the share served at
all: the users' own."""

PROBE_PRICE = 0.004
"""What a health check costs, in answers in time: the users' figure where they are dear."""

NORMAL_95 = 1.96
"""Standard errors on either side of a mean that hold 95 of 100."""


class Outcome(Enum):
    """How a caller's errand ended."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


class Record:
    """One caller's errand, from its first call on."""

    __slots__ = ("kind", "began", "worth", "target", "outcome", "earned", "seconds")

    def __init__(self, kind: str, began: float, worth: float, target: float):
        self.kind = kind
        self.began = began
        self.worth = worth
        self.target = target
        self.outcome = Outcome.LEFT
        self.earned = 0.0
        self.seconds = 0.0

    def served(self, now: float, late_worth: float) -> None:
        """It was answered well."""
        self.seconds = now - self.began
        in_time = self.seconds <= self.target
        self.outcome = Outcome.IN_TIME if in_time else Outcome.LATE
        self.earned = self.worth if in_time else late_worth


class Figures:
    """The figures of one play; shares are 0 to 1.

    Attributes:
        worth: Earned of what was owed, weighed as the users do, less health checks.
        windows: Share in time of the calls that began in each window, by its start in seconds.
        p99: Seconds within which 99 of 100 served calls were answered.
    """

    __slots__ = (
        "worth",
        "in_time",
        "late",
        "refused",
        "worst",
        "p99",
        "probes_per_call",
        "hedges_per_call",
        "windows",
        "by_kind",
    )

    def __init__(self, records: list[Record], probes: int, hedges: int):
        total = max(1, len(records))
        owed = sum(record.worth for record in records) or 1.0
        self.in_time = share_of(records, Outcome.IN_TIME)
        self.late = share_of(records, Outcome.LATE)
        self.refused = share_of(records, Outcome.REFUSED)
        self.windows = by_window(records)
        earned = {start: earned_share(some) for start, some in grouped(records).items()}
        lowest = sorted(earned.values())[:WORST_WINDOWS] or [0.0]
        self.worst = sum(lowest) / len(lowest)
        kinds = {record.kind for record in records}
        self.by_kind = {
            kind: earned_share([r for r in records if r.kind == kind]) for kind in kinds
        }
        served = sorted(record.seconds for record in records if record.earned)
        self.p99 = served[int(0.99 * len(served))] if served else 0.0
        self.probes_per_call = probes / total
        self.hedges_per_call = hedges / total
        self.worth = DAY * earned_share(records) + WORST * self.worst
        self.worth += CLASS * min(self.by_kind.values(), default=0.0)
        self.worth += SERVED * (self.in_time + self.late) - PROBE_PRICE * probes / owed


def share_of(records: list[Record], outcome: Outcome) -> float:
    """Return the share of errands that ended in a way."""
    return sum(record.outcome is outcome for record in records) / max(1, len(records))


def earned_share(records: list[Record]) -> float:
    """Return what was earned of what was owed."""
    return sum(r.earned for r in records) / (sum(r.worth for r in records) or 1.0)


def grouped(records: list[Record]) -> dict[float, list[Record]]:
    """Return the errands by the start of the window that they began in."""
    found: dict[float, list[Record]] = {}
    for record in records:
        found.setdefault(record.began // WINDOW * WINDOW, []).append(record)
    return found


def by_window(records: list[Record]) -> dict[float, float]:
    """Return the share in time of each window, by its start."""
    return {
        start: share_of(some, Outcome.IN_TIME) for start, some in sorted(grouped(records).items())
    }


class Mean:
    """A mean over plays, and half the width of its 95% confidence interval."""

    __slots__ = ("value", "half")

    def __init__(self, values: list[float]):
        count = len(values)
        self.value = sum(values) / count
        spread = sum((value - self.value) ** 2 for value in values) / max(1, count - 1)
        self.half = NORMAL_95 * sqrt(spread / count) if count > 1 else 0.0

    def __str__(self) -> str:
        return f"{self.value:.3f} ±{self.half:.3f}"

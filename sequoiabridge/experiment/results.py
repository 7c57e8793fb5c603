"""Results of a simulation run: outcomes, latencies and a weighted score."""

from __future__ import annotations

from enum import Enum
from math import sqrt

WINDOW_SECONDS = 2.0
"""Length of the windows that a run is divided into."""

WORST_WINDOW_COUNT = 2
"""Number of windows, those with the lowest earned share, that count as the worst."""

WHOLE_RUN_WEIGHT, WORST_WINDOWS_WEIGHT, WORST_KIND_WEIGHT, SERVED_WEIGHT = 0.28, 0.40, 0.12, 0.20
"""Weights in the score: the earned share of the whole run, of its worst windows and of its worst
kind of call, and the share of requests that were served in time or late."""

PROBE_COST = 0.004
"""Cost of a probe, where an answer in time is worth 1."""

Z_95 = 1.96
"""Half the width of a 95% confidence interval, in standard errors."""


class RequestOutcome(Enum):
    """How a caller's request ended, after all its retries."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"


class RequestRecord:
    """Outcome of one caller's request; times in seconds.

    Attributes:
        started_at: When the caller sent its first call.
        target: Latency up to which an answer is in time.
        earned: Worth of the answer; 0 without a successful one.
        latency: Time from the first call to a successful answer.
    """

    __slots__ = ("kind", "started_at", "worth", "target", "outcome", "earned", "latency")

    def __init__(self, kind: str, started_at: float, worth: float, target: float):
        self.kind = kind
        self.started_at = started_at
        self.worth = worth
        self.target = target
        self.outcome = RequestOutcome.ABANDONED
        self.earned = 0.0
        self.latency = 0.0

    def mark_served(self, now: float, late_worth: float) -> None:
        """Record a successful answer at `now`."""
        self.latency = now - self.started_at
        in_time = self.latency <= self.target
        self.outcome = RequestOutcome.IN_TIME if in_time else RequestOutcome.LATE
        self.earned = self.worth if in_time else late_worth


class RunResult:
    """Results of one run; shares are 0 to 1.

    Attributes:
        worth: Weighted score of the run, less the cost of its probes.
        worst: Mean earned share of the worst windows.
        in_time_by_window: Share in time of the requests of each window, by its start in seconds.
        earned_by_kind: Earned share of each kind of call.
        p99: 99th percentile of the latency of served requests, in seconds.
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
        "in_time_by_window",
        "earned_by_kind",
    )

    def __init__(self, records: list[RequestRecord], probes: int, hedges: int):
        total = max(1, len(records))
        total_worth = sum(record.worth for record in records) or 1.0
        self.in_time = outcome_share(records, RequestOutcome.IN_TIME)
        self.late = outcome_share(records, RequestOutcome.LATE)
        self.refused = outcome_share(records, RequestOutcome.REFUSED)
        self.in_time_by_window = in_time_share_by_window(records)
        earned_by_window = {
            start: earned_share(group) for start, group in group_by_window(records).items()
        }
        lowest = sorted(earned_by_window.values())[:WORST_WINDOW_COUNT] or [0.0]
        self.worst = sum(lowest) / len(lowest)
        kinds = {record.kind for record in records}
        self.earned_by_kind = {
            kind: earned_share([r for r in records if r.kind == kind]) for kind in kinds
        }
        latencies = sorted(record.latency for record in records if record.earned)
        self.p99 = latencies[int(0.99 * len(latencies))] if latencies else 0.0
        self.probes_per_call = probes / total
        self.hedges_per_call = hedges / total
        self.worth = WHOLE_RUN_WEIGHT * earned_share(records) + WORST_WINDOWS_WEIGHT * self.worst
        self.worth += WORST_KIND_WEIGHT * min(self.earned_by_kind.values(), default=0.0)
        self.worth += SERVED_WEIGHT * (self.in_time + self.late) - PROBE_COST * probes / total_worth


def outcome_share(records: list[RequestRecord], outcome: RequestOutcome) -> float:
    """Return the share of requests with an outcome."""
    return sum(record.outcome is outcome for record in records) / max(1, len(records))


def earned_share(records: list[RequestRecord]) -> float:
    """Return the earned worth as a share of the total worth."""
    return sum(r.earned for r in records) / (sum(r.worth for r in records) or 1.0)


def group_by_window(records: list[RequestRecord]) -> dict[float, list[RequestRecord]]:
    """Return the requests by the start, in seconds, of the window that they started in."""
    groups: dict[float, list[RequestRecord]] = {}
    for record in records:
        groups.setdefault(record.started_at // WINDOW_SECONDS * WINDOW_SECONDS, []).append(record)
    return groups


def in_time_share_by_window(records: list[RequestRecord]) -> dict[float, float]:
    """Return the share in time of each window, by its start in seconds."""
    return {
        start: outcome_share(group, RequestOutcome.IN_TIME)
        for start, group in sorted(group_by_window(records).items())
    }


class Mean:
    """A mean over runs, and half the width of its 95% confidence interval."""

    __slots__ = ("value", "half_width")

    def __init__(self, values: list[float]):
        count = len(values)
        self.value = sum(values) / count
        variance = sum((value - self.value) ** 2 for value in values) / max(1, count - 1)
        self.half_width = Z_95 * sqrt(variance / count) if count > 1 else 0.0

    def __str__(self) -> str:
        return f"{self.value:.3f} ±{self.half_width:.3f}"

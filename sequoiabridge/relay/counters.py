"""Counts of the path of calls, kept as plain numbers; `relay.metrics` shows them."""

from __future__ import annotations

from bisect import bisect_left

LATENCY_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0)
"""Upper bounds of the latency histograms, in seconds: the users' targets (0.2 to 1.7 s) lie
between them."""


class RouteCounters:
    """Counts of one route: calls by status class, latency, answers in and out of time."""

    __slots__ = ("by_status_class", "buckets", "total_seconds", "in_time", "late")

    def __init__(self) -> None:
        self.by_status_class: dict[str, int] = {}
        self.buckets = [0] * (len(LATENCY_BOUNDS) + 1)
        self.total_seconds = 0.0
        self.in_time = 0
        self.late = 0

    def count_call(self, status: int, seconds: float, in_time: bool) -> None:
        """Count one call."""
        name = f"{status // 100}xx"
        self.by_status_class[name] = self.by_status_class.get(name, 0) + 1
        self.buckets[bisect_left(LATENCY_BOUNDS, seconds)] += 1
        self.total_seconds += seconds
        if in_time:
            self.in_time += 1
        else:
            self.late += 1


class Counters:
    """All counts of one daemon.

    Attributes:
        routes: Counts by route.
        refusals: Answers that the daemon made itself, by reason.
        callers_left: Calls whose callers left before their answer.
    """

    def __init__(self) -> None:
        self.routes: dict[str, RouteCounters] = {}
        self.refusals: dict[str, int] = {}
        self.probes = 0
        self.probes_unanswered = 0
        self.callers_left = 0
        self.store_calls = 0
        self.store_failures = 0

    def route(self, name: str) -> RouteCounters:
        """Return the counts of a route."""
        if name not in self.routes:
            self.routes[name] = RouteCounters()
        return self.routes[name]

    def count_refusal(self, reason: str) -> None:
        """Count one answer that the daemon made itself."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

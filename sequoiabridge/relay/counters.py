"""Counters of the relay as plain numbers; `relay.metrics` exposes them."""

from __future__ import annotations

from bisect import bisect_left

LATENCY_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0)
"""Upper bounds of the buckets of the latency histograms, in seconds."""


class RouteCounters:
    """Counters of one route: calls by status class, latency, answers in time and late."""

    __slots__ = ("statuses", "buckets", "seconds", "in_time", "late")

    def __init__(self) -> None:
        self.statuses: dict[str, int] = {}
        self.buckets = [0] * (len(LATENCY_BOUNDS) + 1)
        self.seconds = 0.0
        self.in_time = 0
        self.late = 0

    def count_call(self, status: int, seconds: float, in_time: bool) -> None:
        """Count one call."""
        name = f"{status // 100}xx"
        self.statuses[name] = self.statuses.get(name, 0) + 1
        self.buckets[bisect_left(LATENCY_BOUNDS, seconds)] += 1
        self.seconds += seconds
        if in_time:
            self.in_time += 1
        else:
            self.late += 1


class Counters:
    """All counters of one daemon.

    Attributes:
        routes: Counters by route.
        refusals: Calls refused by the daemon, by reason.
        callers_left: Calls whose callers disconnected before the answer.
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
        """Return the counters of a route."""
        if name not in self.routes:
            self.routes[name] = RouteCounters()
        return self.routes[name]

    def count_refusal(self, reason: str) -> None:
        """Count one call that the daemon refused."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

"""Measures how overloaded each service is."""

from __future__ import annotations

from .upstream_stats import DecayingSum

DECAY_SECONDS = 1.0
"""Time constant in seconds of the exponential decay of recorded calls. Neighbours change twice a
second, waves of callers last some seconds."""

PRIOR_CALLS = 2.0
"""Weight, in calls, of the initial assumption that a service has capacity. It keeps one call
without capacity from making a service overloaded."""


class OverloadTracker:
    """Tracks the share of recent new calls of each service that found no upstream with capacity."""

    def __init__(self) -> None:
        self.calls: dict[str, DecayingSum] = {}
        self.overloaded: dict[str, DecayingSum] = {}

    def record(self, service: str, overloaded: bool, now: float) -> None:
        """Record a new call and whether all upstreams lacked capacity for it."""
        self.calls.setdefault(service, DecayingSum(DECAY_SECONDS)).add(1.0, now)
        if overloaded:
            self.overloaded.setdefault(service, DecayingSum(DECAY_SECONDS)).add(1.0, now)

    def ratio(self, service: str, now: float) -> float:
        """Return the share of recent new calls that found no upstream with capacity at once."""
        if service not in self.overloaded:
            return 0.0
        return self.overloaded[service].value_at(now) / (
            self.calls[service].value_at(now) + PRIOR_CALLS
        )

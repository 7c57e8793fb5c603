"""How crowded each service is: the share of its new calls that lately found no place at once."""

from __future__ import annotations

from .upstream_stats import DecayingSum

DECAY_SECONDS = 1.0
"""Seconds in which what was met loses two thirds of its weight: neighbours change twice a second,
waves of callers take some seconds."""

PRIOR_CALLS = 2.0
"""Calls' worth of room that is assumed before anything is known: one call without a place does not
make a service crowded."""


class OverloadTracker:
    """What new calls of each service met."""

    def __init__(self) -> None:
        self.calls: dict[str, DecayingSum] = {}
        self.overloaded: dict[str, DecayingSum] = {}

    def record(self, service: str, overloaded: bool, now: float) -> None:
        """A new call looked for a place: all upstreams were crowded, or not."""
        self.calls.setdefault(service, DecayingSum(DECAY_SECONDS)).add(1.0, now)
        if overloaded:
            self.overloaded.setdefault(service, DecayingSum(DECAY_SECONDS)).add(1.0, now)

    def ratio(self, service: str, now: float) -> float:
        """Return the share of new calls that lately found no place at once."""
        if service not in self.overloaded:
            return 0.0
        return self.overloaded[service].value_at(now) / (
            self.calls[service].value_at(now) + PRIOR_CALLS
        )

"""How crowded each service is: the share of its new calls that lately found no place at once."""

from __future__ import annotations

from .upstream_stats import Fading

MEMORY = 1.0
"""Seconds in which what was met loses two thirds of its weight: neighbours change twice a second,
waves of callers take some seconds."""

DOUBT = 2.0
"""Calls' worth of room that is assumed before anything is known: one call without a place does not
make a service crowded."""


class Crowding:
    """What new calls of each service met."""

    def __init__(self) -> None:
        self.calls: dict[str, Fading] = {}
        self.crowded: dict[str, Fading] = {}

    def met(self, service: str, crowded: bool, now: float) -> None:
        """A new call looked for a place: all upstreams were crowded, or not."""
        self.calls.setdefault(service, Fading(MEMORY)).add(1.0, now)
        if crowded:
            self.crowded.setdefault(service, Fading(MEMORY)).add(1.0, now)

    def share(self, service: str, now: float) -> float:
        """Return the share of new calls that lately found no place at once."""
        if service not in self.crowded:
            return 0.0
        return self.crowded[service].now(now) / (self.calls[service].now(now) + DOUBT)

"""Event scheduler on simulated time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from ..timers import Clock


class Scheduler(Clock):
    """Runs actions in the order of simulated seconds, and is the clock; starts at zero."""

    def __init__(self) -> None:
        self.time = 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.sequence = 0

    def now(self) -> float:
        """Return the simulated seconds since the start."""
        return self.time

    def wall(self) -> float:
        """Return the simulated seconds since the start; there is no time of day."""
        return self.time

    def call_later(self, seconds: float, action: Callable, *arguments: object) -> None:
        """Call `action(*arguments)` after `seconds`."""
        self.sequence += 1
        heappush(self.events, (self.time + seconds, self.sequence, action, arguments))

    def run(self) -> None:
        """Run until no event is left."""
        while self.events:
            self.time, _, action, arguments = heappop(self.events)
            action(*arguments)

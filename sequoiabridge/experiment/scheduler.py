"""Simulated time: what happens when, in order."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from ..timers import Clock


class Scheduler(Clock):
    """Events by time, and the clock that they run on; starts at zero."""

    def __init__(self) -> None:
        self.time = 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.sequence = 0

    def now(self) -> float:
        """Return the simulated seconds since the start."""
        return self.time

    def wall(self) -> float:
        """Return the same: nothing here asks for the time of day."""
        return self.time

    def call_later(self, seconds: float, callback: Callable, *arguments: object) -> None:
        """Call `callback(*arguments)` in so many seconds."""
        self.sequence += 1
        heappush(self.events, (self.time + seconds, self.sequence, callback, arguments))

    def run(self) -> None:
        """Run until nothing is left to happen."""
        while self.events:
            self.time, _, callback, arguments = heappop(self.events)
            callback(*arguments)

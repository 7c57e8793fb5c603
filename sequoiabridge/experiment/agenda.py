"""Simulated time: what happens when, in order."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from ..timers import Clock


class Agenda(Clock):
    """Events by time, and the clock that they run on; starts at zero."""

    def __init__(self) -> None:
        self.time = 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.entered = 0

    def now(self) -> float:
        """Return the simulated seconds since the start."""
        return self.time

    def wall(self) -> float:
        """Return the same: nothing here asks for the time of day."""
        return self.time

    def after(self, seconds: float, action: Callable, *arguments: object) -> None:
        """Call `action(*arguments)` in so many seconds."""
        self.entered += 1
        heappush(self.events, (self.time + seconds, self.entered, action, arguments))

    def run(self) -> None:
        """Run until nothing is left to happen."""
        while self.events:
            self.time, _, action, arguments = heappop(self.events)
            action(*arguments)

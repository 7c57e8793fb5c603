"""How late a process runs: the delay with which its event loop calls what is due."""

from __future__ import annotations

from collections import deque

WINDOW_SECONDS = 1.0
"""Seconds for which a delay counts as recent."""

MAX_DELAY = 0.3
"""Delay in seconds from which a process counts as late. An answer takes some turns of the event
loop, so then about a second."""


class Lateness:
    """Records delays in seconds; times are on the daemon's clock.

    Attributes:
        worst: The greatest delay since the start.
        due_at: Time at which the event loop should call something next, infinite if that is open.
    """

    __slots__ = ("recent", "worst", "due_at")

    def __init__(self) -> None:
        self.recent: deque[tuple[float, float]] = deque()
        self.worst = 0.0
        self.due_at = float("inf")

    def record(self, due_at: float, now: float) -> None:
        """Record that what was due at one time was called at another."""
        delay = max(0.0, now - due_at)
        self.worst = max(self.worst, delay)
        # Only the greatest delay counts, so smaller ones before it are not needed any more.
        while self.recent and self.recent[-1][1] <= delay:
            self.recent.pop()
        self.recent.append((now, delay))

    def recent_delay(self, now: float) -> float:
        """Return the greatest recent delay in seconds, with that of what is overdue."""
        while self.recent and self.recent[0][0] < now - WINDOW_SECONDS:
            self.recent.popleft()
        recorded = self.recent[0][1] if self.recent else 0.0
        return max(recorded, now - self.due_at)

    def is_late(self, now: float) -> bool:
        """Return whether the process runs late."""
        return self.recent_delay(now) > MAX_DELAY

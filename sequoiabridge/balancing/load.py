"""The load report of an upstream."""

from __future__ import annotations


class UpstreamLoad:
    """An upstream's report of its own load at the time of its answer.

    Attributes:
        running: Number of requests being processed.
        waiting: Number of requests in its queue.
        slots: Maximum number of requests processed concurrently.
        slowdown: Factor by which processing is currently slower than normal; 1.0 is normal. Other
            load on its hardware (noisy neighbours) changes it several times a second.
    """

    __slots__ = ("running", "waiting", "slots", "slowdown")

    def __init__(self, running: int, waiting: int, slots: int, slowdown: float):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown = slowdown

"""What an upstream says of its load."""

from __future__ import annotations


class UpstreamLoad:
    """An upstream's word on its load at the time of its answer.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it runs at a time.
        slowdown: How many times longer than usual work takes there now; 1.0 is as usual. Other
            work on its hardware changes it several times a second.
    """

    __slots__ = ("running", "waiting", "slots", "slowdown")

    def __init__(self, running: int, waiting: int, slots: int, slowdown: float):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown = slowdown

"""How many calls of a service one daemon lets run at a time, adapted to what they meet.

Additive increase, multiplicative decrease, judged once a round (as many answers as the limit):
the limit falls when the round's median latency stands far over the best lately known, or when
calls fail for lack of room, and grows only while it is in use. `docs/design/limits.md` has the
alternatives.
"""

from __future__ import annotations

from math import exp
from statistics import median

TOLERANCE = 3.0
"""Median latency, as a multiple of the base, up to which a round is a good one."""

DECREASE = 0.85
"""Factor on the limit after a bad round."""

INCREASE = 1.0
"""Calls by which the limit grows after a good round that used it."""

IN_USE = 0.8
"""Share of the limit that must run for it to grow."""

FAILED_SHARE = 0.1
"""Share of failed calls that makes a round a bad one."""

FEWEST_ANSWERS = 8
"""Answers that make a round at least."""

BASE_FADE = 60.0
"""Seconds in which the base follows a lasting rise by 63%; a fall it follows at once."""


class ConcurrencyLimit:
    """The adaptive limit; `allowed` is the number of calls that may run.

    Args:
        initial: Limit at the start.
        lowest: It never falls under this, so that recovery is noticed.
        highest: It never grows over this.
    """

    __slots__ = ("value", "lowest", "highest", "base", "base_at", "latencies", "failed", "peak")

    def __init__(self, initial: int, lowest: int = 1, highest: int = 1000):
        self.value = float(initial)
        self.lowest = lowest
        self.highest = highest
        self.base: float | None = None
        self.base_at = 0.0
        self.latencies: list[float] = []
        self.failed = 0
        self.peak = 0

    @property
    def allowed(self) -> int:
        """How many calls may run at a time."""
        return int(self.value)

    def ended(self, now: float, latency: float, ok: bool, running: int, waiting: int) -> None:
        """A call ended while `running` ran, it included; judge the round when it is full."""
        self.peak = max(self.peak, running)
        if ok:
            self.latencies.append(latency)
        else:
            self.failed += 1
        if len(self.latencies) + self.failed >= max(FEWEST_ANSWERS, self.allowed):
            self._judge(now)

    def _judge(self, now: float) -> None:
        answers = len(self.latencies) + self.failed
        bad = self.failed > FAILED_SHARE * answers
        if self.latencies:
            middle = median(self.latencies)
            self._learn_base(middle, now)
            bad = bad or middle > TOLERANCE * self.base
        if bad:
            self.value = max(self.lowest, self.value * DECREASE)
        elif self.peak >= IN_USE * self.allowed:
            self.value = min(self.highest, self.value + INCREASE)
        self.latencies, self.failed, self.peak = [], 0, 0

    def _learn_base(self, middle: float, now: float) -> None:
        if self.base is None or middle < self.base:
            self.base = middle
        else:
            self.base += (1.0 - exp((self.base_at - now) / BASE_FADE)) * (middle - self.base)
        self.base_at = now

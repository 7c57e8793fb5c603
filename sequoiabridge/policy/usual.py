"""How long calls of one kind usually take."""

from __future__ import annotations

from math import exp

from .quantiles import LatencyHistogram

USUAL_SHARE = 0.75
"""Share of the calls of a kind that are answered within its usual latency."""

REFRESHED_AFTER = 32
"""Answers after which the usual latency of a kind is read anew."""

ESTIMATE_FADE = 2.0
"""Seconds without an end of a call in which the estimates lose 63%.

Else estimates so bad that they refuse every call would never be corrected.
"""


class UsualLatency:
    """How long calls of one kind usually take once admitted; fades without answers."""

    __slots__ = ("histogram", "answers", "value", "at")

    def __init__(self):
        self.histogram = LatencyHistogram()
        self.answers = 0
        self.value = 0.0
        self.at = 0.0

    def add(self, now: float, latency: float) -> None:
        """Take in one latency."""
        self.histogram.add(latency)
        self.at = now
        self.answers += 1
        if self.answers % REFRESHED_AFTER == 1:
            self.value = self.histogram.quantile(USUAL_SHARE) or 0.0

    def read(self, now: float) -> float:
        """Return the seconds that most calls of the kind take."""
        return self.value * exp((self.at - now) / ESTIMATE_FADE) if self.value else 0.0

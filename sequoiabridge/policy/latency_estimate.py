"""How long calls of one kind usually take."""

from __future__ import annotations

from math import exp

from .quantiles import LatencyHistogram

EXPECTED_QUANTILE = 0.75
"""Share of the calls of a kind that are answered within its usual latency."""

REFRESH_ANSWERS = 32
"""Answers after which the usual latency of a kind is read anew."""

ESTIMATE_DECAY_SECONDS = 2.0
"""Seconds without an end of a call in which the estimates lose 63%.

Else estimates so bad that they refuse every call would never be corrected.
"""


class LatencyEstimate:
    """How long calls of one kind usually take once admitted; fades without answers."""

    __slots__ = ("histogram", "answers", "value", "updated_at")

    def __init__(self):
        self.histogram = LatencyHistogram()
        self.answers = 0
        self.value = 0.0
        self.updated_at = 0.0

    def add(self, now: float, latency: float) -> None:
        """Take in one latency."""
        self.histogram.add(latency)
        self.updated_at = now
        self.answers += 1
        if self.answers % REFRESH_ANSWERS == 1:
            self.value = self.histogram.quantile(EXPECTED_QUANTILE) or 0.0

    def read(self, now: float) -> float:
        """Return the seconds that most calls of the kind take."""
        return (
            self.value * exp((self.updated_at - now) / ESTIMATE_DECAY_SECONDS)
            if self.value
            else 0.0
        )

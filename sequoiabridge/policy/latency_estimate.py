"""Estimated latency of one kind of call."""

from __future__ import annotations

from math import exp

from .quantiles import LatencyHistogram

EXPECTED_QUANTILE = 0.75
"""Quantile of the recorded latencies that is used as the estimate."""

REFRESH_ANSWERS = 32
"""Number of answers between two updates of the estimate."""

ESTIMATE_DECAY_SECONDS = 2.0
"""Time constant of the exponential decay of estimates while no call ends.

Without decay, an estimate so high that all calls are refused would never be corrected.
"""


class LatencyEstimate:
    """Estimated latency of one kind of call once admitted; decays while no call is answered."""

    __slots__ = ("histogram", "answers", "value", "updated_at")

    def __init__(self):
        self.histogram = LatencyHistogram()
        self.answers = 0
        self.value = 0.0
        self.updated_at = 0.0

    def add(self, now: float, latency: float) -> None:
        """Record the latency of an answered call."""
        self.histogram.add(latency)
        self.updated_at = now
        self.answers += 1
        if self.answers % REFRESH_ANSWERS == 1:
            self.value = self.histogram.quantile(EXPECTED_QUANTILE) or 0.0

    def read(self, now: float) -> float:
        """Return the estimated latency in seconds."""
        return (
            self.value * exp((self.updated_at - now) / ESTIMATE_DECAY_SECONDS)
            if self.value
            else 0.0
        )

"""Latency quantiles from a histogram with logarithmic bins and decaying counts."""

from __future__ import annotations

from math import log

MIN_LATENCY_SECONDS = 0.0001
"""Upper bound of the first bin."""

BIN_RATIO = 1.1
"""Ratio of the upper bounds of neighbouring bins; quantiles are exact to 10%."""

BIN_COUNT = 180
"""Number of bins; they cover latencies up to 2,500 seconds."""

MAX_TOTAL = 1000
"""Total count at which all counts are halved, so that recent latencies dominate."""

LOG_BIN_RATIO = log(BIN_RATIO)


class LatencyHistogram:
    """Histogram of latencies in which recent ones weigh more."""

    __slots__ = ("counts", "total")

    def __init__(self):
        self.counts = [0.0] * BIN_COUNT
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Add a latency in seconds."""
        index = (
            0
            if seconds <= MIN_LATENCY_SECONDS
            else int(log(seconds / MIN_LATENCY_SECONDS) / LOG_BIN_RATIO) + 1
        )
        self.counts[min(index, BIN_COUNT - 1)] += 1.0
        self.total += 1.0
        if self.total >= MAX_TOTAL:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, share: float) -> float | None:
        """Return the latency in seconds at the quantile `share` (0 to 1), or None if empty."""
        if self.total <= 0.0:
            return None
        remaining = share * self.total
        for index, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 0.0:
                return MIN_LATENCY_SECONDS * BIN_RATIO**index
        return MIN_LATENCY_SECONDS * BIN_RATIO ** (BIN_COUNT - 1)

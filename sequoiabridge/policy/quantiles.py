"""Latency quantiles from a histogram with logarithmic bins, in which old values fade."""

from __future__ import annotations

from math import log

MIN_LATENCY_SECONDS = 0.0001
"""Seconds; everything shorter falls into the first bin."""

BIN_RATIO = 1.1
"""Each bin ends at this multiple of the one before: quantiles are right within 10%."""

BIN_COUNT = 180
"""Enough bins to reach over 2,500 seconds."""

MAX_TOTAL = 1000
"""Weight of values after which all counts are halved, so that the recent ones decide."""

LOG_BIN_RATIO = log(BIN_RATIO)


class LatencyHistogram:
    """Counts latencies in bins; `quantile` reads them back."""

    __slots__ = ("counts", "total")

    def __init__(self):
        self.counts = [0.0] * BIN_COUNT
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count one latency."""
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
        """Return the latency in seconds that a `share` (0 to 1) of calls stay under, or None."""
        if self.total <= 0.0:
            return None
        remaining = share * self.total
        for index, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 0.0:
                return MIN_LATENCY_SECONDS * BIN_RATIO**index
        return MIN_LATENCY_SECONDS * BIN_RATIO ** (BIN_COUNT - 1)

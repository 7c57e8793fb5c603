"""Latency quantiles from a histogram with logarithmic bins, in which old values fade."""

from __future__ import annotations

from math import log

LEAST = 0.0001
"""Seconds; everything shorter falls into the first bin."""

RATIO = 1.1
"""Each bin ends at this multiple of the one before: quantiles are right within 10%."""

BINS = 180
"""Enough bins to reach over 2,500 seconds."""

HALVED_AFTER = 1000
"""Weight of values after which all counts are halved, so that the recent ones decide."""

LOG_RATIO = log(RATIO)


class LatencyHistogram:
    """Counts latencies in bins; `quantile` reads them back."""

    __slots__ = ("counts", "total")

    def __init__(self):
        self.counts = [0.0] * BINS
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count one latency."""
        index = 0 if seconds <= LEAST else int(log(seconds / LEAST) / LOG_RATIO) + 1
        self.counts[min(index, BINS - 1)] += 1.0
        self.total += 1.0
        if self.total >= HALVED_AFTER:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, share: float) -> float | None:
        """Return the latency in seconds that a `share` (0 to 1) of calls stay under, or None."""
        if self.total <= 0.0:
            return None
        wanted = share * self.total
        for index, count in enumerate(self.counts):
            wanted -= count
            if wanted <= 0.0:
                return LEAST * RATIO**index
        return LEAST * RATIO ** (BINS - 1)

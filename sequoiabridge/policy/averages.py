"""Averages over the upstreams of a service, towards which old evidence fades."""

from __future__ import annotations

from collections.abc import Collection
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .evidence import UpstreamEvidence

FIRST_LATENCY = 0.01
"""Seconds assumed for a call before anything was measured."""

FEWEST_OUTCOMES = 8
"""Outcomes after which the averages of a small pool are worked out anew."""

INTERVAL_GAIN = 0.02
"""Weight of the newest gap between two calls in their mean."""

LONGEST_GAP = 1.0
"""Seconds that one gap between calls counts as at most."""


class PoolAverages:
    """Averages over the upstreams of a service, towards which old evidence fades.

    Each upstream counts once, however many calls it gets: else the one that attracts the most
    work, perhaps wrongly, would set the measure.

    Attributes:
        latency: Median of the upstreams' mean latencies, in seconds.
        others: Mean work per slot that upstreams reported beside this daemon's own.
        failures: Mean share of calls that failed.
        known: Whether any latency was measured yet.
        interval: Mean seconds between two calls of this daemon.
    """

    __slots__ = ("latency", "others", "failures", "due", "known", "interval", "called_at")

    def __init__(self):
        self.latency = FIRST_LATENCY
        self.others = 0.0
        self.failures = 0.0
        self.due = 0
        self.known = False
        self.interval = 0.0
        self.called_at: float | None = None

    def called(self, now: float) -> None:
        """Count a call of this daemon, for the mean gap between them."""
        if self.called_at is not None:
            gap = min(LONGEST_GAP, now - self.called_at)
            self.interval += INTERVAL_GAIN * (gap - self.interval)
        self.called_at = now

    def count(self, upstreams: Collection[UpstreamEvidence], now: float) -> None:
        """Count one more outcome; work the averages out anew once each upstream had about one."""
        self.due -= 1
        if self.due <= 0:
            self.due = max(FEWEST_OUTCOMES, len(upstreams))
            self.refresh(upstreams, now)

    def refresh(self, upstreams: Collection[UpstreamEvidence], now: float) -> None:
        """Work the averages out anew."""
        latencies = [u.latency for u in upstreams if u.samples]
        if latencies:
            self.latency = median(latencies)
        reports = [u.others / u.slots for u in upstreams if u.report is not None]
        if reports:
            self.others = sum(reports) / len(reports)
        if upstreams:
            self.failures = sum(u.failure_share(now) for u in upstreams) / len(upstreams)

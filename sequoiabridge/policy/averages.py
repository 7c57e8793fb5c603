"""Averages over the upstreams of a service, towards which stale measurements decay."""

from __future__ import annotations

from collections.abc import Collection
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .upstream_state import UpstreamState

INITIAL_LATENCY_SECONDS = 0.01
"""Assumed latency of a call before the first measurement."""

MIN_REFRESH_OUTCOMES = 8
"""Minimum number of outcomes between two refreshes of the averages."""

INTERVAL_WEIGHT = 0.02
"""Weight of the newest interval between calls in the moving average."""

MAX_INTERVAL_SECONDS = 1.0
"""Upper bound on an interval between calls that enters the average."""


class PoolAverages:
    """Averages over the upstreams of a service, towards which stale measurements decay.

    Each upstream counts once, whatever its share of the calls, so that a single upstream that
    receives most of them does not define the average.

    Attributes:
        latency: Median of the upstreams' mean latencies, in seconds.
        other_load: Mean number of other daemons' calls per slot, from load reports.
        failure_share: Mean share of failed calls.
        latency_known: Whether a latency has been measured.
        call_interval: Mean interval between two calls of this daemon, in seconds.
    """

    __slots__ = (
        "latency",
        "other_load",
        "failure_share",
        "outcomes_until_refresh",
        "latency_known",
        "call_interval",
        "last_call_at",
    )

    def __init__(self):
        self.latency = INITIAL_LATENCY_SECONDS
        self.other_load = 0.0
        self.failure_share = 0.0
        self.outcomes_until_refresh = 0
        self.latency_known = False
        self.call_interval = 0.0
        self.last_call_at: float | None = None

    def record_call(self, now: float) -> None:
        """Update the mean interval between this daemon's calls."""
        if self.last_call_at is not None:
            interval = min(MAX_INTERVAL_SECONDS, now - self.last_call_at)
            self.call_interval += INTERVAL_WEIGHT * (interval - self.call_interval)
        self.last_call_at = now

    def record_outcome(self, upstreams: Collection[UpstreamState], now: float) -> None:
        """Count an outcome; refresh the averages after about one outcome per upstream."""
        self.outcomes_until_refresh -= 1
        if self.outcomes_until_refresh <= 0:
            self.outcomes_until_refresh = max(MIN_REFRESH_OUTCOMES, len(upstreams))
            self.refresh(upstreams, now)

    def refresh(self, upstreams: Collection[UpstreamState], now: float) -> None:
        """Recompute the averages."""
        latencies = [u.latency for u in upstreams if u.samples]
        if latencies:
            self.latency = median(latencies)
        reports = [u.other_calls / u.slots for u in upstreams if u.report is not None]
        if reports:
            self.other_load = sum(reports) / len(reports)
        if upstreams:
            self.failure_share = sum(u.failure_share(now) for u in upstreams) / len(upstreams)

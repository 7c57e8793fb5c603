"""Averages over the upstreams of a service, towards which old evidence fades."""

from __future__ import annotations

from collections.abc import Collection
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .upstream_state import UpstreamState

INITIAL_LATENCY_SECONDS = 0.01
"""Seconds assumed for a call before anything was measured."""

MIN_REFRESH_OUTCOMES = 8
"""Outcomes after which the averages of a small pool are worked out anew."""

INTERVAL_WEIGHT = 0.02
"""Weight of the newest gap between two calls in their mean."""

MAX_INTERVAL_SECONDS = 1.0
"""Seconds that one gap between calls counts as at most."""


class PoolAverages:
    """Averages over the upstreams of a service, towards which old evidence fades.

    Each upstream counts once, however many calls it gets: else the one that attracts the most
    work, perhaps wrongly, would set the measure.

    Attributes:
        latency: Median of the upstreams' mean latencies, in seconds.
        other_load: Mean work per slot that upstreams reported beside this daemon's own.
        failure_share: Mean share of calls that failed.
        latency_known: Whether any latency was measured yet.
        call_interval: Mean seconds between two calls of this daemon.
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
        """Count a call of this daemon, for the mean gap between them."""
        if self.last_call_at is not None:
            interval = min(MAX_INTERVAL_SECONDS, now - self.last_call_at)
            self.call_interval += INTERVAL_WEIGHT * (interval - self.call_interval)
        self.last_call_at = now

    def record_outcome(self, upstreams: Collection[UpstreamState], now: float) -> None:
        """Count one more outcome; work the averages out anew once each upstream had about one."""
        self.outcomes_until_refresh -= 1
        if self.outcomes_until_refresh <= 0:
            self.outcomes_until_refresh = max(MIN_REFRESH_OUTCOMES, len(upstreams))
            self.refresh(upstreams, now)

    def refresh(self, upstreams: Collection[UpstreamState], now: float) -> None:
        """Work the averages out anew."""
        latencies = [u.latency for u in upstreams if u.samples]
        if latencies:
            self.latency = median(latencies)
        reports = [u.other_calls / u.slots for u in upstreams if u.report is not None]
        if reports:
            self.other_load = sum(reports) / len(reports)
        if upstreams:
            self.failure_share = sum(u.failure_share(now) for u in upstreams) / len(upstreams)

"""State of one upstream as this daemon sees it, with the age of each measurement.

Times are seconds on the daemon's monotonic clock. Measurements decay with age towards the average
of the pool, so that stale ones neither attract nor repel calls for long.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from math import exp

from .averages import PoolAverages
from .base import LoadReport

REPORT_DECAY_LATENCIES = 1.5
"""Time constant of the decay of a load report, as a multiple of the pool's latency.

A queue changes as its calls complete, so a report goes stale with their latency.
"""

LATENCY_DECAY_SECONDS = 5.0
"""Minimum time constant of the decay of an upstream's mean latency."""

FAILURE_DECAY_SECONDS = 2.0
"""Minimum time constant of the decay of the share of failed calls."""

LATENCY_DECAY_CALLS = 500
"""Minimum time constant of the decay of the mean latency, in calls of this daemon, so that a daemon
with few calls keeps enough measurements."""

FAILURE_DECAY_CALLS = 500
"""Minimum time constant of the decay of the share of failed calls, in calls of this daemon."""

MAX_IDLE_FAILURE_SHARE = 0.05
"""Share of failed calls above which a load report below the average is ignored."""

LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in an upstream's moving average."""

OUTCOME_WEIGHT = 0.2
"""Weight of the newest outcome in the share of failed calls."""


class UpstreamSpec:
    """One upstream in the fleet's configuration."""

    __slots__ = ("name", "address", "slots", "connections", "data_centre", "drained", "pool")

    def __init__(
        self,
        name: str,
        address: str,
        slots: int,
        connections: int,
        data_centre: str,
        drained: bool = False,
        pool: str = "",
    ):
        self.name = name
        self.address = address
        self.slots = slots
        self.connections = connections
        self.data_centre = data_centre
        self.drained = drained
        self.pool = pool


class UpstreamState:
    """State of one upstream as this daemon sees it.

    Attributes:
        draining: Incarnation that is draining, or None.
        drained: Whether the operator drains it.
        gone: Whether it has left the configuration; only calls in flight still refer to it.
        cold_since: Start of its slow start, or None.
        ejected_until: End of its latest ejection; 0.0 if it was never ejected.
        ejections: Number of consecutive ejections, which determines their duration.
        on_trial: Whether it gets one call at a time after an ejection, until enough succeed.
        start_times: Start times of this daemon's calls in flight, oldest first.
        other_calls: Calls of other daemons in flight, from the latest load report.
        trust: 0 to 1, how far its load reports agree with its latency.
    """

    __slots__ = (
        "name",
        "address",
        "pool",
        "slots",
        "connections",
        "data_centre",
        "drained",
        "draining",
        "gone",
        "cold_since",
        "ejected_until",
        "ejections",
        "on_trial",
        "good_trials",
        "start_times",
        "averages",
        "report",
        "report_at",
        "other_calls",
        "trust",
        "latency",
        "latency_at",
        "samples",
        "last_failure_share",
        "last_outcome_at",
        "consecutive_failures",
        "shed_until",
        "consecutive_sheds",
        "suspected_by",
        "suspected",
        "probed_at",
    )

    def __init__(self, spec: UpstreamSpec, averages: PoolAverages):
        self.averages = averages
        self.configure(spec)
        self.draining: int | None = None
        self.gone = False
        self.cold_since: float | None = None
        self.ejected_until = 0.0
        self.ejections = 0
        self.on_trial = False
        self.good_trials = 0
        self.start_times: list[float] = []
        self.report: LoadReport | None = None
        self.report_at = float("-inf")
        self.other_calls = 0.0
        self.trust = 1.0
        self.latency = averages.latency
        self.latency_at = float("-inf")
        self.samples = 0
        self.last_failure_share = 0.0
        self.last_outcome_at = float("-inf")
        self.consecutive_failures = 0
        self.shed_until = 0.0
        self.consecutive_sheds = 0
        self.suspected_by: dict[str, float] = {}
        self.suspected = False
        self.probed_at = float("-inf")

    def configure(self, spec: UpstreamSpec) -> None:
        """Apply the configuration; the measurements stay."""
        self.name = spec.name
        self.address = spec.address
        self.pool = spec.pool
        self.slots = max(1, spec.slots)
        self.connections = spec.connections
        self.data_centre = spec.data_centre
        self.drained = spec.drained

    @property
    def in_flight(self) -> int:
        """Number of this daemon's calls in flight to the upstream."""
        return len(self.start_times)

    def record_start(self, now: float) -> None:
        """Add a call in flight."""
        insort(self.start_times, now)

    def record_end(self, now: float, elapsed: float) -> None:
        """Remove the call in flight that started nearest to `now - elapsed`."""
        if len(self.start_times) < 2:
            self.start_times.clear()
            return
        start = now - elapsed
        later = bisect_left(self.start_times, start)
        if later == len(self.start_times) or (
            later and start - self.start_times[later - 1] <= self.start_times[later] - start
        ):
            later -= 1
        del self.start_times[later]

    def load(self, now: float) -> float:
        """Return the estimated number of calls per slot, this daemon's included."""
        average = self.averages.other_load * self.slots
        weight = self.trust * exp(
            (self.report_at - now) / (REPORT_DECAY_LATENCIES * self.averages.latency)
        )
        if (
            self.other_calls < average
            and self.last_failure_share
            and self.failure_share(now) > MAX_IDLE_FAILURE_SHARE
        ):
            weight = 0.0
        others = average + (self.other_calls - average) * weight
        return (others + len(self.start_times)) / self.slots

    def latency_ratio(self, now: float) -> float:
        """Return its mean latency as a multiple of the pool's; decays to 1."""
        if not self.samples:
            return 1.0
        decay = max(LATENCY_DECAY_SECONDS, LATENCY_DECAY_CALLS * self.averages.call_interval)
        weight = exp((self.latency_at - now) / decay)
        return 1.0 + (self.latency / self.averages.latency - 1.0) * weight

    def failure_share(self, now: float) -> float:
        """Return the recent share of its calls that failed; decays to 0."""
        if not self.last_failure_share:
            return 0.0
        decay = max(FAILURE_DECAY_SECONDS, FAILURE_DECAY_CALLS * self.averages.call_interval)
        return self.last_failure_share * exp((self.last_outcome_at - now) / decay)

    def overdue_ratio(self, now: float) -> float:
        """Return the age of its oldest call in flight as a multiple of the pool's latency."""
        if not self.start_times:
            return 0.0
        return (now - self.start_times[0]) / self.averages.latency

    def record_latency(self, now: float, elapsed: float) -> None:
        """Record the latency of a successful answer."""
        if not self.averages.latency_known:
            self.averages.latency, self.averages.latency_known = elapsed, True
        mean = self.averages.latency * self.latency_ratio(now)
        self.latency = mean + LATENCY_WEIGHT * (elapsed - mean)
        self.samples += 1
        self.latency_at = now

    def record_outcome(self, now: float, failed: bool) -> None:
        """Record whether a call failed."""
        share = self.failure_share(now)
        self.last_failure_share = share + OUTCOME_WEIGHT * (failed - share)
        self.last_outcome_at = now
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0

    def record_report(self, now: float, report: LoadReport) -> None:
        """Record a load report, unless a newer one is known."""
        at = now - report.age
        if report.in_flight < 0 or at < self.report_at:
            return
        self.report = report
        self.report_at = at
        self.other_calls = max(0.0, float(report.in_flight - len(self.start_times)))

    def dump(self, now: float) -> dict:
        """Return the state for operators."""
        return {
            "address": self.address,
            "in flight": self.in_flight,
            "load per slot": round(self.load(now), 2),
            "report age ms": _age_ms(self.report_at, now),
            "latency ms": round(self.latency * 1000, 2),
            "latency age ms": _age_ms(self.latency_at, now),
            "failures": round(self.failure_share(now), 3),
            "trust": round(self.trust, 2),
            "suspected by": sorted(self.suspected_by),
        }


def _age_ms(at: float, now: float) -> float | None:
    return None if at == float("-inf") else round((now - at) * 1000, 1)

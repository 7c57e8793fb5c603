"""What one daemon knows of each upstream of a service, and how old each piece of it is.

Times are seconds on the daemon's monotonic clock. Every piece of evidence fades: with age it moves
towards the average of the pool, so that old news neither attracts nor repels work for long.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from math import exp

from .averages import PoolAverages
from .base import LoadReport

REPORT_DECAY_LATENCIES = 1.5
"""Times the pool's latency in which a load report loses 63% of its weight.

A queue lives as long as the calls in it: news of it ages by their length, not by the clock.
"""

LATENCY_DECAY_SECONDS = 5.0
"""Seconds in which the mean latency of an upstream loses 63% of its weight, at least."""

FAILURE_DECAY_SECONDS = 2.0
"""Seconds in which the share of failures loses 63% of its weight, at least."""

LATENCY_DECAY_CALLS = 500
"""Calls of this daemon in which the same happens at least: a quiet daemon must not forget sooner
than it can learn."""

FAILURE_DECAY_CALLS = 500
"""The same for failures."""

MAX_IDLE_FAILURE_SHARE = 0.05
"""Share of failures from which a report of little work is no reason to choose an upstream."""

LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in an upstream's mean."""

OUTCOME_WEIGHT = 0.2
"""Weight of the newest outcome in an upstream's share of failures."""


class UpstreamSpec:
    """One upstream as the fleet's configuration describes it."""

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
    """One upstream as this daemon sees it.

    Attributes:
        draining: Incarnation with which the upstream said that it is leaving, or None.
        drained: The operator wants no new work on it.
        gone: It has left the configuration; only calls in flight still refer to it.
        cold_since: Time from which its share of the work grows (slow start), or None.
        ejected_until: Time before which it gets no work; 0.0 when it is not ejected.
        ejections: How often in a row it was ejected; sets the back-off.
        on_trial: It is back from an ejection and must first answer well, one call at a time.
        start_times: Starting times of this daemon's calls in flight, oldest first.
        other_calls: Work of other daemons, from the last report, in calls.
        trust: 0 to 1, how far its reports agree with what its latency shows.
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
        """Take over what the configuration says; the evidence stays."""
        self.name = spec.name
        self.address = spec.address
        self.pool = spec.pool
        self.slots = max(1, spec.slots)
        self.connections = spec.connections
        self.data_centre = spec.data_centre
        self.drained = spec.drained

    @property
    def in_flight(self) -> int:
        """This daemon's own calls that are with the upstream."""
        return len(self.start_times)

    def record_start(self, now: float) -> None:
        """Count one more call in flight."""
        insort(self.start_times, now)

    def record_end(self, now: float, elapsed: float) -> None:
        """Count the call that started nearest to `now - elapsed` as ended."""
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
        """Return the estimated work at the upstream per slot, this daemon's calls included."""
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
        """Return its mean latency as a multiple of the pool's; fades to 1 with age."""
        if not self.samples:
            return 1.0
        decay = max(LATENCY_DECAY_SECONDS, LATENCY_DECAY_CALLS * self.averages.call_interval)
        weight = exp((self.latency_at - now) / decay)
        return 1.0 + (self.latency / self.averages.latency - 1.0) * weight

    def failure_share(self, now: float) -> float:
        """Return the recent share of its calls that failed; fades to 0 with age."""
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
        """Take in the latency of one good answer."""
        if not self.averages.latency_known:
            self.averages.latency, self.averages.latency_known = elapsed, True
        mean = self.averages.latency * self.latency_ratio(now)
        self.latency = mean + LATENCY_WEIGHT * (elapsed - mean)
        self.samples += 1
        self.latency_at = now

    def record_outcome(self, now: float, failed: bool) -> None:
        """Take in whether one call failed."""
        share = self.failure_share(now)
        self.last_failure_share = share + OUTCOME_WEIGHT * (failed - share)
        self.last_outcome_at = now
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0

    def record_report(self, now: float, report: LoadReport) -> None:
        """Take in the upstream's own word on its load, unless a newer one is known."""
        at = now - report.age
        if report.in_flight < 0 or at < self.report_at:
            return
        self.report = report
        self.report_at = at
        self.other_calls = max(0.0, float(report.in_flight - len(self.start_times)))

    def dump(self, now: float) -> dict:
        """Describe the evidence for operators."""
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

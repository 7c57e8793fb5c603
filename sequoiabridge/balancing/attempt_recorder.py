"""Takes in what an ended attempt says about its upstream and about its route."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .call import Call, CallAttempt, Ending
from .load import UpstreamLoad
from .route_stats import RouteStats
from .upstream import Upstream

NOISY_NEIGHBOUR_RATIO = 1.5
"""Rise of the reported slowdown during a call from which its duration says nothing of the upstream
itself."""


class UpstreamObserver(ABC):
    """Enters what was seen of upstreams, and tells those who must know."""

    @abstractmethod
    def record_load_report(self, upstream: Upstream, load: UpstreamLoad) -> None:
        """An upstream told its load."""

    @abstractmethod
    def record_failure(self, upstream: Upstream) -> None:
        """An upstream failed a call."""

    @abstractmethod
    def record_replacement(self, upstream: Upstream) -> None:
        """Another upstream answered at its address."""


class AttemptRecorder:
    """Learns from attempts that have ended.

    Attributes:
        endings: Attempts by how they ended.
    """

    def __init__(self, route_stats: RouteStats, observer: UpstreamObserver):
        self.route_stats = route_stats
        self.observer = observer
        self.endings: dict[str, int] = {}

    def record(self, call: Call, attempt: CallAttempt) -> None:
        """Take in one attempt."""
        ending, now = attempt.ending, attempt.ended_at
        self.endings[ending.value] = self.endings.get(ending.value, 0) + 1
        upstream, estimate = attempt.upstream, attempt.estimate
        stats = upstream.stats
        seconds = now - attempt.started
        # What was expected without regard to the upstream's own slowness.
        expected_seconds = estimate.expected_duration / stats.latency_ratio_at(now)
        if attempt.load is not None:
            self.observer.record_load_report(upstream, attempt.load)
        if ending is Ending.ANSWERED and attempt.is_success:
            stats.record_success(now)
            if not slowed_by_neighbour(attempt):
                stats.record_latency_ratio(seconds / expected_seconds, now)
            self.route_stats.record(call, attempt)
        elif ending is Ending.CANCELLED:
            if seconds > expected_seconds:
                stats.record_latency_ratio(seconds / expected_seconds, now)
        elif ending is Ending.RESTARTED:
            return
        elif attempt.wrong_upstream:
            self.observer.record_replacement(upstream)
        elif attempt.error is None:
            self.observer.record_failure(upstream)


def slowed_by_neighbour(attempt: CallAttempt) -> bool:
    """Return whether other work slowed the upstream down after the call was sent there."""
    load = attempt.load
    return load is not None and load.slowdown > NOISY_NEIGHBOUR_RATIO * attempt.estimate.slowdown

"""Updates the statistics of upstreams and routes from attempts that have ended."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .call import Call, CallAttempt, Ending
from .load import UpstreamLoad
from .route_stats import RouteStats
from .upstream import Upstream

NOISY_NEIGHBOUR_RATIO = 1.5
"""Factor by which the reported slowdown must rise during a call for the call's duration to be
attributed to a noisy neighbour instead of the upstream itself."""


class UpstreamObserver(ABC):
    """Records observations of upstreams and passes them on to peers."""

    @abstractmethod
    def record_load_report(self, upstream: Upstream, load: UpstreamLoad) -> None:
        """Record an upstream's load report."""

    @abstractmethod
    def record_failure(self, upstream: Upstream) -> None:
        """Record that an upstream failed a call."""

    @abstractmethod
    def record_replacement(self, upstream: Upstream) -> None:
        """Record that another upstream answered at this one's address."""


class AttemptRecorder:
    """Records the outcome of attempts.

    Args:
        route_stats: Statistics of the routes.
        observer: Receives observations of upstreams.

    Attributes:
        endings: Number of attempts by ending.
        sends: Number of attempts that were sent, by service.
        repeats: Those of them that were sent after, or beside, another attempt of their call.
    """

    def __init__(self, route_stats: RouteStats, observer: UpstreamObserver):
        self.route_stats = route_stats
        self.observer = observer
        self.endings: dict[str, int] = {}
        self.sends: dict[str, int] = {}
        self.repeats: dict[str, int] = {}

    def record(self, call: Call, attempt: CallAttempt) -> None:
        """Record an attempt that has ended."""
        if attempt.sent:
            self._count_send(call)
        ending, now = attempt.ending, attempt.ended_at
        self.endings[ending.value] = self.endings.get(ending.value, 0) + 1
        upstream, estimate = attempt.upstream, attempt.estimate
        stats = upstream.stats
        seconds = now - attempt.started
        # The expected duration without the upstream's own latency ratio.
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
        elif ending in (Ending.RESTARTED, Ending.WITHHELD):
            return
        elif attempt.wrong_upstream:
            self.observer.record_replacement(upstream)
        elif attempt.error is None and not attempt.connection_failed:
            self.observer.record_failure(upstream)

    def _count_send(self, call: Call) -> None:
        service = call.service
        self.sends[service] = self.sends.get(service, 0) + 1
        if call.recorded_sends:
            self.repeats[service] = self.repeats.get(service, 0) + 1
        call.recorded_sends += 1


def slowed_by_neighbour(attempt: CallAttempt) -> bool:
    """Return whether a noisy neighbour slowed the upstream down after the call was sent."""
    load = attempt.load
    return load is not None and load.slowdown > NOISY_NEIGHBOUR_RATIO * attempt.estimate.slowdown

"""Takes in what an ended attempt says about its upstream and about its route."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .call import Call, CallAttempt, Ending
from .load import UpstreamLoad
from .route_stats import Costs
from .upstream import Upstream

NEIGHBOUR = 1.5
"""Rise of the reported slowdown during a call from which its duration says nothing of the upstream
itself."""


class News(ABC):
    """Enters what was seen of upstreams, and tells those who must know."""

    @abstractmethod
    def reported(self, upstream: Upstream, load: UpstreamLoad) -> None:
        """An upstream told its load."""

    @abstractmethod
    def failed(self, upstream: Upstream) -> None:
        """An upstream failed a call."""

    @abstractmethod
    def was_replaced(self, upstream: Upstream) -> None:
        """Another upstream answered at its address."""


class Learning:
    """Learns from attempts that have ended.

    Attributes:
        endings: Attempts by how they ended.
    """

    def __init__(self, costs: Costs, news: News):
        self.costs = costs
        self.news = news
        self.endings: dict[str, int] = {}

    def ended(self, call: Call, attempt: CallAttempt) -> None:
        """Take in one attempt."""
        ending, now = attempt.ending, attempt.ended_at
        self.endings[ending.value] = self.endings.get(ending.value, 0) + 1
        upstream, estimate = attempt.upstream, attempt.estimate
        stats = upstream.stats
        seconds = now - attempt.started
        # What was expected without regard to the upstream's own slowness.
        usual = estimate.expected_duration / stats.latency_ratio_at(now)
        if attempt.load is not None:
            self.news.reported(upstream, attempt.load)
        if ending is Ending.ANSWERED and attempt.is_success:
            stats.record_success(now)
            if not met_neighbour(attempt):
                stats.record_latency_ratio(seconds / usual, now)
            self.costs.measured(call, attempt)
        elif ending is Ending.CANCELLED:
            if seconds > usual:
                stats.record_latency_ratio(seconds / usual, now)
        elif ending is Ending.RESTARTED:
            return
        elif attempt.wrong_upstream:
            self.news.was_replaced(upstream)
        elif attempt.error is None:
            self.news.failed(upstream)


def met_neighbour(attempt: CallAttempt) -> bool:
    """Return whether other work slowed the upstream down after the call was sent there."""
    load = attempt.load
    return load is not None and load.slowdown > NEIGHBOUR * attempt.estimate.slowdown

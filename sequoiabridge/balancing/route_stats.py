"""What a route's calls are like, learned from those that went by: work time and answer size."""

from __future__ import annotations

from math import exp, log

from .call import Call, CallAttempt

INITIAL_WORK_SHARE = 0.35
"""Share of its target latency that a call's work is taken to need before any was measured; the
users' targets are 2.5 to 3.3 times their mean work."""

LEARNING_RATE = 0.1
"""Weight of the latest call; some ten calls fix a mean to a tenth."""

MAX_LOG_RATIO = 0.5
"""Bound on one call's part in the logarithm of the work time: one that met a neighbour takes seven
times as long, and says nothing about the work."""

MAX_SAMPLED_SLOWDOWN = 1.3
"""Slowdown up to which a call tells what its work takes; the reports of quiet upstreams say 1."""

INITIAL_ANSWER_SIZE = 4000.0
"""Bytes of an answer that are expected before any was seen."""

MEGABYTE = 1_000_000
MIN_DURATION = 0.001


class RouteAverages:
    """The means of one route."""

    __slots__ = ("work", "answer_size")

    def __init__(self, work: float):
        self.work = work
        self.answer_size = INITIAL_ANSWER_SIZE


class RouteStats:
    """Learns the means of each route.

    Args:
        far_megabyte: Cost of a megabyte between data centres, in answers in time.
    """

    def __init__(self, transfer_cost_per_mb: float):
        self.transfer_cost_per_mb = transfer_cost_per_mb
        self.by_route: dict[str, RouteAverages] = {}

    def work(self, call: Call) -> float:
        """Return the seconds that the call's work takes on an upstream that nothing slows."""
        return self._averages_of(call).work

    def transfer_cost(self, call: Call) -> float:
        """Return the cost of sending the call to another data centre."""
        size = call.length + self._averages_of(call).answer_size
        return size / MEGABYTE * self.transfer_cost_per_mb

    def record(self, call: Call, attempt: CallAttempt) -> None:
        """An attempt at a call was answered well.

        Its work is learned only if it had a slot at once on an upstream that nothing slowed.
        """
        averages, estimate = self._averages_of(call), attempt.estimate
        averages.answer_size += LEARNING_RATE * (attempt.size - averages.answer_size)
        if estimate.queue_position > 0 or estimate.slowdown > MAX_SAMPLED_SLOWDOWN:
            return
        seconds = attempt.ended_at - attempt.started
        ratio = log(max(seconds, MIN_DURATION) / estimate.processing_time)
        averages.work *= exp(LEARNING_RATE * max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio)))

    def _averages_of(self, call: Call) -> RouteAverages:
        key = f"{call.route.name}/{call.service}"
        if key not in self.by_route:
            self.by_route[key] = RouteAverages(call.route.target_latency * INITIAL_WORK_SHARE)
        return self.by_route[key]

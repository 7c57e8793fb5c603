"""Moving averages per route and service: work of a call and size of its answer."""

from __future__ import annotations

from math import exp, log

from .call import Call, CallAttempt

INITIAL_WORK_SHARE = 0.35
"""Initial estimate of a call's work, as a share of the target latency of its route. Known target
latencies are 2.5 to 3.3 times the mean work."""

LEARNING_RATE = 0.1
"""Weight of a new call in the moving averages. Some ten calls fix a mean to a tenth."""

MAX_LOG_RATIO = 0.5
"""Bound on the logarithm of the ratio of measured to expected time of one call. Limits the effect
of calls that a noisy neighbour slowed down. Such a call takes seven times as long and says nothing
about the work."""

MAX_SAMPLED_SLOWDOWN = 1.3
"""Maximum slowdown of an upstream at which a call's duration is a sample of its work."""

INITIAL_ANSWER_SIZE = 4000.0
"""Initial estimate of the answer size in bytes."""

MEGABYTE = 1_000_000
MIN_DURATION = 0.001
"""Lower bound in seconds on a measured duration, whose logarithm is taken."""


class RouteAverages:
    """The averages of one route and service.

    Attributes:
        work: Seconds of processing on an upstream that is not slowed down.
        answer_size: Bytes of an answer.
    """

    __slots__ = ("work", "answer_size")

    def __init__(self, work: float):
        self.work = work
        self.answer_size = INITIAL_ANSWER_SIZE


class RouteStats:
    """Maintains the averages of all routes.

    Args:
        transfer_cost_per_mb: Cost of transferring a megabyte between data centres, relative to the
            value of an answer in time.
    """

    def __init__(self, transfer_cost_per_mb: float):
        self.transfer_cost_per_mb = transfer_cost_per_mb
        self.by_route: dict[str, RouteAverages] = {}

    def work(self, call: Call) -> float:
        """Return the expected processing time of the call in seconds without any slowdown."""
        return self._averages_of(call).work

    def transfer_cost(self, call: Call) -> float:
        """Return the expected cost of transferring the call and its answer between data centres."""
        size = call.length + self._averages_of(call).answer_size
        return size / MEGABYTE * self.transfer_cost_per_mb

    def record(self, call: Call, attempt: CallAttempt) -> None:
        """Record a successful attempt.

        Its duration counts only if it did not wait in a queue and the upstream was not slowed down.
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

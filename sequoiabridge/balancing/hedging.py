"""Decides when a call that is waiting for its answer is sent to a second upstream as well.

Only idempotent calls are hedged. The decision depends on the current load report of the first
upstream, which may have been slowed down by a noisy neighbour since the call was sent.
"""

from __future__ import annotations

from ..timers import Clock
from .call import Call, CallAttempt
from .chooser import Chooser
from .cost_model import CostEstimate
from .route_stats import RouteStats
from .steps import Probe, Steps
from .upstream_stats import PROBE_WAIT

FIRST_CHECK_FACTOR = 1.3
"""Time of the first check after the start of an attempt, as a multiple of its expected duration.
Work times spread by a third around their mean, so most calls have ended by then."""

MIN_FIRST_CHECK_SHARE = 0.2
"""Minimum time before the first check, as a share of the target latency."""

CHECK_INTERVAL_SHARE = 0.15
"""Interval between checks, as a share of the target latency."""

STUCK_FACTOR = 2.0
"""Multiple of its duration at the upstream's current speed after which a call counts as stuck."""

MIN_REMAINING_SHARE = 0.25
"""Minimum remaining time of a call that is not stuck, as a share of that duration."""

MAX_HEDGE_RATIO = 0.8
"""Maximum expected duration of a hedge, as a share of the first attempt's remaining time."""


class Hedging:
    """Decides on hedges."""

    def __init__(self, chooser: Chooser, route_stats: RouteStats, clock: Clock):
        self.chooser = chooser
        self.route_stats = route_stats
        self.clock = clock

    def schedule_first_check(self, call: Call, attempt: CallAttempt) -> None:
        """Set the time of the first check of a new attempt."""
        target = call.route.target_latency
        wait = max(
            FIRST_CHECK_FACTOR * attempt.estimate.expected_duration, MIN_FIRST_CHECK_SHARE * target
        )
        attempt.next_check_at = attempt.started + min(wait, target)

    def next_check(self, call: Call) -> float:
        """Return the time of the next check; the deadline if the call may not be hedged."""
        if not self._may_hedge(call):
            return call.deadline
        return min((attempt.next_check_at for attempt in call.open_attempts), default=call.deadline)

    def postpone_check(self, call: Call, attempt: CallAttempt) -> None:
        """Set the time of the next check of an attempt."""
        attempt.next_check_at = self.clock.now() + CHECK_INTERVAL_SHARE * call.route.target_latency

    def find_hedge(self, call: Call, attempt: CallAttempt) -> Steps[CostEstimate | None]:
        """Return the upstream to hedge an attempt with, None if a hedge is not worthwhile."""
        self.postpone_check(call, attempt)
        if not self._may_hedge(call) or self.chooser.policy.refusal(call) is not None:
            return None
        stats = attempt.upstream.stats
        if not stats.is_unresponsive(self.clock.now()):
            yield Probe([attempt.upstream], PROBE_WAIT)
        remaining = self._remaining_time(call, attempt)
        if remaining <= 0.0:
            return None
        max_duration = min(MAX_HEDGE_RATIO * remaining, call.deadline - self.clock.now())

        def is_worthwhile(hedge: CostEstimate) -> bool:
            return hedge.expected_duration <= max_duration and hedge.queue_position <= 0

        estimate = yield from self.chooser.choose(call, is_worthwhile)
        return estimate if estimate is not None and is_worthwhile(estimate) else None

    def _may_hedge(self, call: Call) -> bool:
        may_run_again = call.route.idempotent and call.replayable
        return may_run_again and call.possible_or_pending_runs < call.route.max_attempts

    def _remaining_time(self, call: Call, attempt: CallAttempt) -> float:
        """Return the expected remaining seconds of an attempt; infinite if it is stuck."""
        stats, now = attempt.upstream.stats, self.clock.now()
        if stats.is_unresponsive(now):
            return float("inf")
        slowdown = stats.load.slowdown if stats.load else attempt.estimate.slowdown
        duration = (
            self.route_stats.work(call) * max(1.0, slowdown) * max(1.0, stats.latency_ratio_at(now))
        )
        elapsed = now - attempt.started
        if elapsed > STUCK_FACTOR * max(duration, attempt.estimate.expected_duration):
            return float("inf")
        return max(MIN_REMAINING_SHARE * duration, duration - elapsed)

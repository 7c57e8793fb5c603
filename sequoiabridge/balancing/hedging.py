"""When a call that waits for its answer is sent to a second upstream as well.

Only calls that may run more than once are. What decides is how the upstream that has the call does
now, which it is asked: a call that was sent to a fast upstream may have met a neighbour since.
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
"""Times its expected duration after which a call is looked at first: work times spread by a third
around their mean, so most calls have ended by then."""

MIN_FIRST_CHECK_SHARE = 0.2
"""Part of the target latency that passes before the first look at least."""

CHECK_INTERVAL_SHARE = 0.15
"""Part of the target latency between two looks."""

STUCK_FACTOR = 2.0
"""Times its duration at the upstream's present speed after which a call is thought to be stuck."""

MIN_REMAINING_SHARE = 0.25
"""Part of that duration that is thought to be left at least while the call is not stuck."""

MAX_HEDGE_RATIO = 0.8
"""A second upstream must be expected to answer within this part of what the first still needs."""


class Hedging:
    """Decides on second attempts."""

    def __init__(self, chooser: Chooser, route_stats: RouteStats, clock: Clock):
        self.chooser = chooser
        self.route_stats = route_stats
        self.clock = clock

    def schedule_first_check(self, call: Call, attempt: CallAttempt) -> None:
        """Set when a new attempt is looked at first."""
        target = call.route.target_latency
        wait = max(
            FIRST_CHECK_FACTOR * attempt.estimate.expected_duration, MIN_FIRST_CHECK_SHARE * target
        )
        attempt.next_check_at = attempt.started + min(wait, target)

    def next_check(self, call: Call) -> float:
        """Return when to look at the running attempts; the deadline if no second one is allowed."""
        if not self._may_hedge(call):
            return call.deadline
        return min((attempt.next_check_at for attempt in call.open_attempts), default=call.deadline)

    def postpone_check(self, call: Call, attempt: CallAttempt) -> None:
        """Set when an attempt is looked at again."""
        attempt.next_check_at = self.clock.now() + CHECK_INTERVAL_SHARE * call.route.target_latency

    def find_hedge(self, call: Call, attempt: CallAttempt) -> Steps[CostEstimate | None]:
        """Return an upstream that should try the call too, None if the first does well enough."""
        self.postpone_check(call, attempt)
        if not self._may_hedge(call):
            return None
        stats = attempt.upstream.stats
        if not stats.is_unresponsive(self.clock.now()):
            yield Probe([attempt.upstream], PROBE_WAIT)
        remaining = self._remaining_time(call, attempt)
        if remaining <= 0.0:
            return None
        estimate = yield from self.chooser.choose(call)
        if (
            estimate is None
            or estimate.expected_duration > MAX_HEDGE_RATIO * remaining
            or estimate.queue_position > 0
        ):
            return None
        if estimate.expected_duration > call.deadline - self.clock.now():
            return None
        return estimate

    def _may_hedge(self, call: Call) -> bool:
        may_run_again = call.route.idempotent and call.replayable
        return may_run_again and call.possible_or_pending_runs < call.route.max_attempts

    def _remaining_time(self, call: Call, attempt: CallAttempt) -> float:
        """Return the seconds that an attempt is expected to need still; infinite if it is stuck."""
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

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

FIRST_LOOK = 1.3
"""Times its expected duration after which a call is looked at first: work times spread by a third
around their mean, so most calls have ended by then."""

LEAST_LOOK = 0.2
"""Part of the target latency that passes before the first look at least."""

LOOK_EVERY = 0.15
"""Part of the target latency between two looks."""

ALIVE = 2.0
"""Times its duration at the upstream's present speed after which a call is thought to be stuck."""

LEAST_LEFT = 0.25
"""Part of that duration that is thought to be left at least while the call is not stuck."""

WORTHWHILE = 0.8
"""A second upstream must be expected to answer within this part of what the first still needs."""


class Hedging:
    """Decides on second attempts."""

    def __init__(self, chooser: Chooser, route_stats: RouteStats, clock: Clock):
        self.chooser = chooser
        self.route_stats = route_stats
        self.clock = clock

    def begin(self, call: Call, attempt: CallAttempt) -> None:
        """Set when a new attempt is looked at first."""
        target = call.route.target_latency
        wait = max(FIRST_LOOK * attempt.estimate.expected_duration, LEAST_LOOK * target)
        attempt.next_check_at = attempt.started + min(wait, target)

    def next_look(self, call: Call) -> float:
        """Return when to look at the running attempts; the deadline if no second one is allowed."""
        if not self._allowed(call):
            return call.deadline
        return min((attempt.next_check_at for attempt in call.open_attempts), default=call.deadline)

    def look_later(self, call: Call, attempt: CallAttempt) -> None:
        """Set when an attempt is looked at again."""
        attempt.next_check_at = self.clock.now() + LOOK_EVERY * call.route.target_latency

    def better(self, call: Call, attempt: CallAttempt) -> Steps[CostEstimate | None]:
        """Return an upstream that should try the call too, None if the first does well enough."""
        self.look_later(call, attempt)
        if not self._allowed(call):
            return None
        stats = attempt.upstream.stats
        if not stats.is_unresponsive(self.clock.now()):
            yield Probe([attempt.upstream], PROBE_WAIT)
        left = self._time_left(call, attempt)
        if left <= 0.0:
            return None
        estimate = yield from self.chooser.choose(call)
        if (
            estimate is None
            or estimate.expected_duration > WORTHWHILE * left
            or estimate.queue_position > 0
        ):
            return None
        if estimate.expected_duration > call.deadline - self.clock.now():
            return None
        return estimate

    def _allowed(self, call: Call) -> bool:
        repeatable = call.route.idempotent and call.replayable
        return repeatable and call.possible_or_pending_runs < call.route.max_attempts

    def _time_left(self, call: Call, attempt: CallAttempt) -> float:
        """Return the seconds that an attempt is expected to need still; infinite if it is stuck."""
        stats, now = attempt.upstream.stats, self.clock.now()
        if stats.is_unresponsive(now):
            return float("inf")
        slowdown = stats.load.slowdown if stats.load else attempt.estimate.slowdown
        duration = (
            self.route_stats.work(call) * max(1.0, slowdown) * max(1.0, stats.latency_ratio_at(now))
        )
        taken = now - attempt.started
        if taken > ALIVE * max(duration, attempt.estimate.expected_duration):
            return float("inf")
        return max(LEAST_LEFT * duration, duration - taken)

"""Runs a call until there is a final answer: choose an upstream, send, wait, retry or hedge.

A call that is not idempotent is sent again only if it is proven that no upstream ran it.
"""

from __future__ import annotations

from collections.abc import Callable

from ..component import Component
from ..exceptions import Refusal
from ..outcome import Reason
from ..timers import Clock
from .attempt_recorder import AttemptRecorder
from .call import Call, CallAttempt, Ending
from .chooser import Chooser
from .cost_model import CostEstimate
from .hedging import Hedging
from .refusals import broken_body, no_attempt_left, no_upstream, stopping, timed_out
from .retry_budget import RetryBudget
from .steps import CancelAttempt, Send, Steps, Wait

MAX_SENDS = 4
"""Maximum number of attempts per call, including those that upstreams refused. When four have no
capacity the service has none, and a later try of the caller does better."""

MAX_ATTEMPTS = 16
"""Maximum number of attempts per call, including those for which no connection was free. Such an
attempt lost the last connection to another call after the choice, so there are few."""

POLL_INTERVAL = 0.5
"""Seconds between checks whether the upstream of an open attempt has restarted or the daemon stops.
Without the check, a half-open connection after a network partition would hold the call until its
deadline."""

MIN_ATTEMPT_TIME = 0.02
"""Minimum time in seconds before the deadline at which a retry is started. A round trip and a probe
take a few milliseconds."""


STOP_POLL_INTERVAL = 0.1
"""Seconds between these checks in a stop, since `stop_at` may be set to an earlier time."""

OUT_OF_TIME = frozenset({Reason.TIMEOUT, Reason.STOPPING})
"""Reasons of refusals that go behind a failure answer of an upstream."""

STOP_FACTOR = 1.25
"""Multiple of its expected duration that an attempt must have left before the daemon stops."""

STOP_FACTOR_RUN_ONCE = 2.0
"""The same multiple for calls that are not idempotent. Work takes up to twice as long as expected,
and their callers must not send them again if the stop breaks them off."""


class Dispatch(Component):
    """Runs calls as sequences of steps.

    Args:
        chooser: Chooses the upstream of each attempt.
        hedging: Decides on hedges.
        recorder: Records ended attempts.
        clock: The daemon's clock.
        new_budget: Creates the retry budget of a service, given its name.

    Attributes:
        budgets: The retry budgets by service.
        hedges: Number of attempts started while another attempt of the call was running.
        retries: Number of attempts started after another attempt had failed.
        stop_at: Time at which all calls get their last answer since the daemon stops, or infinity.
        hedging_paused: Whether no call is hedged.
    """

    name = "retry_budgets"

    def __init__(
        self,
        chooser: Chooser,
        hedging: Hedging,
        recorder: AttemptRecorder,
        clock: Clock,
        new_budget: Callable[[str], RetryBudget],
    ):
        self.chooser = chooser
        self.hedging = hedging
        self.recorder = recorder
        self.clock = clock
        self.new_budget = new_budget
        self.budgets: dict[str, RetryBudget] = {}
        self.hedges = 0
        self.retries = 0
        self.stop_at = float("inf")
        self.hedging_paused = False

    def run(self, call: Call) -> Steps[CallAttempt]:
        """Run the call; return the attempt that has its final answer.

        Raises:
            Refusal: No attempt has one.
        """
        try:
            return (yield from self._run(call))
        except Refusal as refusal:
            if call.fallback is None or refusal.reason not in OUT_OF_TIME:
                raise
            call.note = f"{refusal.reason.value}; the upstream's failure is the answer"
            return call.fallback

    def dump(self) -> dict:
        """Describe the retry budgets for the state dump."""
        now = self.clock.now()
        return {service: budget.dump(now) for service, budget in self.budgets.items()}

    def _run(self, call: Call) -> Steps[CallAttempt]:
        refusal = self.chooser.policy.refusal(call)
        if refusal is not None:
            raise refusal
        self._retry_budget(call).record_call(self.clock.now())
        yield from self._send_first(call)
        while True:
            end = min(call.deadline, self.stop_at)
            is_stopping = self.stop_at < float("inf")
            wake_at = self.clock.now() + (STOP_POLL_INTERVAL if is_stopping else POLL_INTERVAL)
            attempt = yield Wait(min(self.hedging.next_check(call), end, wake_at))
            if attempt is None:
                self._check_time(call)
                yield from self._check_attempts(call)
                continue
            call.open_attempts.remove(attempt)
            self.recorder.record(call, attempt)
            if attempt.is_final:
                return attempt
            if attempt.status:
                call.fallback = attempt
            if attempt.error is not None:
                raise broken_body(call, attempt.error)
            if call.open_attempts or (yield from self._retry(call)):
                continue
            if call.fallback is not None:
                return call.fallback
            raise self._refusal(call, attempt)

    def _check_time(self, call: Call) -> None:
        """Check that a call may go on: none of its attempts is answered, and there is time left.

        Raises:
            Refusal: Its deadline has passed, or the daemon stops.
        """
        if any(attempt.ending is Ending.ANSWERED for attempt in call.open_attempts):
            return
        now = self.clock.now()
        if now >= call.deadline:
            raise timed_out(call)
        if now >= self.stop_at:
            raise stopping(call)

    def _refusal(self, call: Call, attempt: CallAttempt) -> Refusal:
        """Return the refusal of a call that cannot be sent again after an attempt failed."""
        refusal = self.chooser.policy.refusal(call)
        if refusal is None and not call.possible_runs:
            refusal = self.chooser.refusal_while_excluded(call)
        if refusal is not None:
            return refusal
        overload_ratio = self.chooser.overload.ratio(call.service, self.clock.now())
        return no_attempt_left(call, attempt.why, overload_ratio)

    def _send_first(self, call: Call) -> Steps[None]:
        estimate = yield from self.chooser.choose_or_hold(call)
        if estimate is None:
            raise no_upstream(call)
        if not self._ends_before_stop(call, estimate):
            raise stopping(call)
        yield from self._start(call, estimate)

    def _ends_before_stop(self, call: Call, estimate: CostEstimate) -> bool:
        """Return whether an attempt that starts now is likely to end before the daemon stops."""
        factor = STOP_FACTOR if call.route.idempotent else STOP_FACTOR_RUN_ONCE
        end = self.clock.now() + factor * estimate.expected_duration
        return min(end, call.deadline) <= self.stop_at

    def _start(self, call: Call, estimate: CostEstimate) -> Steps[None]:
        attempt = yield Send(estimate)
        call.attempts.append(attempt)
        call.open_attempts.append(attempt)
        self.hedging.schedule_first_check(call, attempt)

    def _retry(self, call: Call) -> Steps[bool]:
        """Retry the call on another upstream if that is allowed; return whether it was sent.

        Raises:
            Refusal: It has not run, and its time ended while it was held for capacity.
        """
        if not self._may_retry(call):
            return False
        if call.possible_runs:
            estimate = yield from self.chooser.choose_with_capacity(call)
        else:
            latest = min(call.deadline - MIN_ATTEMPT_TIME, self.stop_at)
            estimate = yield from self.chooser.choose_again_or_hold(call, latest)
            self._check_time(call)
            if not self._may_retry(call):
                return False
        if estimate is None or self.chooser.lacks_capacity(call, estimate):
            call.note = "no other upstream has capacity"
            return False
        if not self._ends_before_stop(call, estimate):
            raise stopping(call)
        if call.was_sent and not self._take_token(call):
            return False
        self.retries += 1
        yield from self._start(call, estimate)
        return True

    def _may_retry(self, call: Call) -> bool:
        possible_runs = call.possible_runs
        if self.chooser.policy.refusal(call) is not None:
            call.note = "it is refused by now"
        elif possible_runs and not call.route.idempotent:
            call.note = "it may have run"
        elif possible_runs >= call.route.max_attempts or has_no_attempt_left(call):
            call.note = "no attempt left"
        elif not call.can_resend:
            call.note = "its body has been forwarded"
        elif call.deadline - self.clock.now() < MIN_ATTEMPT_TIME:
            call.note = "no time left"
        elif call.was_sent and not self._retry_budget(call).has_token(self.clock.now()):
            call.note = "the retry budget is exhausted"
        else:
            return True
        return False

    def _check_attempts(self, call: Call) -> Steps[None]:
        """Cancel attempts at restarted upstreams; hedge those whose check is due."""
        for attempt in list(call.open_attempts):
            if attempt.upstream.has_restarted:
                yield CancelAttempt(attempt)
            elif attempt.next_check_at <= self.clock.now():
                yield from self._hedge(call, attempt)

    def _hedge(self, call: Call, attempt: CallAttempt) -> Steps[None]:
        if self.hedging_paused:
            self.hedging.postpone_check(call, attempt)
            return
        budget = self._retry_budget(call)
        if not budget.has_token(self.clock.now()):
            self.hedging.postpone_check(call, attempt)
            call.note = "the retry budget is exhausted"
            return
        estimate = yield from until_ended(call, self.hedging.find_hedge(call, attempt))
        if estimate is None or attempt.ending is not None:
            return
        if not self._ends_before_stop(call, estimate):
            return
        if not self._take_token(call):
            return
        self.hedges += 1
        yield from self._start(call, estimate)

    def settle(self, call: Call) -> None:
        """Settle the retry tokens of a call once no upstream can receive it any more."""
        if call.retry_tokens:
            self._retry_budget(call).settle(call.retry_tokens, self.clock.now())
            call.retry_tokens = 0

    def _take_token(self, call: Call) -> bool:
        if not self._retry_budget(call).take(self.clock.now()):
            call.note = "the retry budget is exhausted"
            return False
        call.retry_tokens += 1
        return True

    def _retry_budget(self, call: Call) -> RetryBudget:
        budget = self.budgets.get(call.service)
        if budget is None:
            budget = self.budgets[call.service] = self.new_budget(call.service)
        return budget


def has_no_attempt_left(call: Call) -> bool:
    """Return whether the call has had its maximum number of attempts."""
    return call.tried_count >= MAX_SENDS or len(call.attempts) >= MAX_ATTEMPTS


def until_ended(call: Call, steps: Steps[CostEstimate | None]) -> Steps[CostEstimate | None]:
    """Take the steps of a search for an upstream; return its result.

    Return None once an attempt of the call has ended, since its answer must not wait.
    """
    result = None
    while all(attempt.ending is None for attempt in call.open_attempts):
        try:
            step = steps.send(result)
        except StopIteration as end:
            return end.value
        result = yield step
    steps.close()
    return None

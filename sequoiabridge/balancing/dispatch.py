"""Takes a call to upstreams until there is a final answer: place, send, wait, repeat.

`Dispatch.way` reads top to bottom. A call that may run only once is sent again only when it is
proven that no upstream ran it.
"""

from __future__ import annotations

from collections.abc import Callable

from ..timers import Clock
from .attempt_recorder import AttemptRecorder
from .call import Call, CallAttempt
from .chooser import Chooser
from .cost_model import CostEstimate
from .hedging import Hedging
from .refusals import no_attempt_left, no_upstream, timed_out
from .retry_budget import RetryBudget
from .steps import CancelAttempt, Send, Steps, Wait

MAX_SENDS = 4
"""Upstreams that a call is offered to at most, those that refused it included: when four have no
room, the service has none, and a later try of the caller does better."""

RESTART_POLL_INTERVAL = 0.5
"""Seconds between two looks whether the upstream that has a call has started again. The connection
to one that did so behind a cut stays open and silent until the call's deadline."""

MIN_ATTEMPT_TIME = 0.02
"""Seconds that must be left for another attempt; a round trip and a probe take a few."""


class Dispatch:
    """The way of each call, as steps.

    Args:
        new_budget: Makes the budget of repeated sends of a service.

    Attributes:
        budgets: The budgets by service.
        hedges, retries: Attempts after the first of a call: while one ran, after one had failed.
    """

    def __init__(
        self,
        chooser: Chooser,
        hedging: Hedging,
        recorder: AttemptRecorder,
        clock: Clock,
        new_budget: Callable[[], RetryBudget],
    ):
        self.chooser = chooser
        self.hedging = hedging
        self.recorder = recorder
        self.clock = clock
        self.new_budget = new_budget
        self.budgets: dict[str, RetryBudget] = {}
        self.hedges = 0
        self.retries = 0

    def run(self, call: Call) -> Steps[CallAttempt]:
        """Return the attempt whose answer is the call's.

        Raises:
            Refusal: There is none.
        """
        self._retry_budget(call).record_call(self.clock.now())
        yield from self._send_first(call)
        while True:
            now = self.clock.now()
            if now >= call.deadline:
                raise timed_out(call)
            wake_at = min(self.hedging.next_check(call), call.deadline, now + RESTART_POLL_INTERVAL)
            attempt = yield Wait(wake_at)
            if attempt is None:
                yield from self._check_attempts(call)
                continue
            call.open_attempts.remove(attempt)
            self.recorder.record(call, attempt)
            if attempt.is_final:
                return attempt
            if attempt.status:
                call.fallback = attempt
            if attempt.error is not None:
                raise attempt.error
            if call.open_attempts or (yield from self._retry(call)):
                continue
            if call.fallback is not None:
                return call.fallback
            overload_ratio = self.chooser.overload.ratio(call.service, self.clock.now())
            raise no_attempt_left(call, attempt.why, overload_ratio)

    def _send_first(self, call: Call) -> Steps[None]:
        estimate = yield from self.chooser.choose_or_hold(call)
        if estimate is None:
            raise no_upstream(call)
        yield from self._start(call, estimate)

    def _start(self, call: Call, estimate: CostEstimate) -> Steps[None]:
        attempt = yield Send(estimate)
        call.attempts.append(attempt)
        call.open_attempts.append(attempt)
        self.hedging.schedule_first_check(call, attempt)

    def _retry(self, call: Call) -> Steps[bool]:
        """Send the call to another upstream if that is allowed; return whether it was sent."""
        if not self._may_retry(call):
            return False
        estimate = yield from self.chooser.choose(call)
        if estimate is None or self.chooser.lacks_capacity(call, estimate):
            call.note = "no other upstream has a place"
            return False
        if call.was_sent and not self._retry_budget(call).take(self.clock.now()):
            call.note = "the budget of repeats is spent"
            return False
        self.retries += 1
        yield from self._start(call, estimate)
        return True

    def _may_retry(self, call: Call) -> bool:
        possible_runs = call.possible_runs
        if possible_runs and not call.route.idempotent:
            call.note = "it may have run"
        elif possible_runs >= call.route.max_attempts or len(call.attempts) >= MAX_SENDS:
            call.note = "no attempt left"
        elif not call.replayable and call.was_sent:
            call.note = "its body has been passed on"
        elif call.deadline - self.clock.now() < MIN_ATTEMPT_TIME:
            call.note = "no time left"
        elif call.was_sent and not self._retry_budget(call).has_token(self.clock.now()):
            call.note = "the budget of repeats is spent"
        else:
            return True
        return False

    def _check_attempts(self, call: Call) -> Steps[None]:
        """See how open attempts do; let another upstream try too if they do badly."""
        for attempt in list(call.open_attempts):
            if attempt.upstream.has_restarted:
                yield CancelAttempt(attempt)
            elif attempt.next_check_at <= self.clock.now():
                yield from self._hedge(call, attempt)

    def _hedge(self, call: Call, attempt: CallAttempt) -> Steps[None]:
        budget = self._retry_budget(call)
        if not budget.has_token(self.clock.now()):
            self.hedging.postpone_check(call, attempt)
            call.note = "the budget of repeats is spent"
            return
        estimate = yield from self.hedging.find_hedge(call, attempt)
        if estimate is None or attempt.ending is not None:
            return
        if not budget.take(self.clock.now()):
            call.note = "the budget of repeats is spent"
            return
        self.hedges += 1
        yield from self._start(call, estimate)

    def _retry_budget(self, call: Call) -> RetryBudget:
        budget = self.budgets.get(call.service)
        if budget is None:
            budget = self.budgets[call.service] = self.new_budget()
        return budget

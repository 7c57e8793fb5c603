"""Sends a call to upstreams until there is a final answer: choose, send, wait, repeat.

`Sender.run` reads top to bottom. A call that may run only once is sent again only when it is
proven that no upstream ran it.
"""

from __future__ import annotations

from collections.abc import Callable

from ..pipeline.exchange import Answer, BytesBody
from ..timers import Clock
from ..upstreams.base import Connector
from .attempt import Attempt
from .budget import RetryBudget
from .call import Ending, RelayedCall
from .choice import Weighed
from .chooser import Chooser
from .costs import Costs
from .crash_guard import CrashGuard
from .dialect import Dialect
from .hedging import Hedging
from .race import Race
from .refusals import gave_up, no_upstream, timed_out
from .sharing import Sharing
from .tally import Tally
from .upstreams import UpstreamList

FIRST_FAILURE = 500

NEIGHBOUR = 1.5
"""Rise of the reported slowdown during a call from which its duration says nothing of the upstream
itself."""

MOST_SENDS = 4
"""Upstreams that a call is offered to at most, those that refused it included: when four have no
room, the service has none, and a later try of the caller does better."""

RESTART_LOOK = 0.5
"""Seconds between two looks whether the upstream that has a call has started again. The connection
to one that did so behind a cut stays open and silent until the call's deadline."""

LEAST_TIME = 0.02
"""Seconds that must be left for another attempt; a round trip and a probe take a few."""


class Sender:
    """The last step of a call's way.

    Args:
        new_budget: Makes the budget of repeated sends of a service.
        guard: Stops requests that crash upstreams.

    Attributes:
        budgets: The budgets by service.
    """

    def __init__(
        self,
        chooser: Chooser,
        hedging: Hedging,
        costs: Costs,
        upstreams: UpstreamList,
        connector: Connector,
        dialect: Dialect,
        sharing: Sharing,
        tally: Tally,
        clock: Clock,
        new_budget: Callable[[], RetryBudget],
        guard: CrashGuard,
    ):
        self.guard = guard
        self.chooser = chooser
        self.hedging = hedging
        self.costs = costs
        self.upstreams = upstreams
        self.connector = connector
        self.dialect = dialect
        self.sharing = sharing
        self.tally = tally
        self.clock = clock
        self.new_budget = new_budget
        self.budgets: dict[str, RetryBudget] = {}

    async def run(self, call: RelayedCall) -> Answer:
        """Return the final answer of an upstream.

        Raises:
            Refusal: There is none.
        """
        self.guard.check(call)
        self._budget(call).called(self.clock.now())
        race = Race()
        try:
            return await self._until_answered(call, race)
        finally:
            await race.cancel()
            for attempt in call.attempts:
                if attempt.ending is Ending.CANCELLED:
                    self._learn(call, attempt)

    async def _until_answered(self, call: RelayedCall, race: Race) -> Answer:
        await self._first(call, race)
        while True:
            now = self.clock.now()
            if now >= call.deadline:
                raise timed_out(call)
            look_at = self.hedging.next_look(call, list(race.running))
            wake_at = min(look_at, call.deadline, now + RESTART_LOOK)
            attempt = await race.next_ended(wake_at - now)
            if attempt is None:
                await end_what_is_over(race)
                await self._look(call, race)
                continue
            self._learn(call, attempt)
            await self.guard.ended(call, attempt)
            if is_final(attempt):
                return attempt.answer
            if attempt.answer is not None:
                call.fallback = attempt.answer
            if attempt.error is not None:
                raise attempt.error
            if race.running or await self._again(call, race):
                continue
            if call.fallback is not None:
                return call.fallback
            raise gave_up(call, attempt.why)

    async def _first(self, call: RelayedCall, race: Race) -> None:
        weighed = await self.chooser.place(call)
        if weighed is None:
            raise no_upstream(call)
        await self._start(call, race, weighed)

    async def _start(self, call: RelayedCall, race: Race, weighed: Weighed) -> None:
        attempt = Attempt(call, weighed, self.connector, self.dialect, self.clock, self.sharing)
        self.hedging.begin(call, attempt)
        call.attempts.append(attempt)
        await race.start(attempt)

    async def _again(self, call: RelayedCall, race: Race) -> bool:
        """Send the call to another upstream if that is allowed; return whether it was sent."""
        if not self._may_repeat(call):
            return False
        weighed = await self.chooser.choose(call)
        if weighed is None or self.chooser.is_crowded(call, weighed):
            call.note = "no other upstream has a place"
            return False
        if call.reached and not self._budget(call).take(self.clock.now()):
            call.note = "the budget of repeats is spent"
            return False
        self.tally.retries += 1
        await self._start(call, race, weighed)
        return True

    def _may_repeat(self, call: RelayedCall) -> bool:
        ran = call.may_have_run
        if ran and not call.route.idempotent:
            call.note = "it may have run"
        elif ran >= call.route.max_attempts or len(call.attempts) >= MOST_SENDS:
            call.note = "no attempt left"
        elif not call.replayable and call.reached:
            call.note = "its body has been passed on"
        elif call.deadline - self.clock.now() < LEAST_TIME:
            call.note = "no time left"
        elif call.reached and not self._budget(call).has(self.clock.now()):
            call.note = "the budget of repeats is spent"
        else:
            return True
        return False

    async def _look(self, call: RelayedCall, race: Race) -> None:
        """See how open attempts do; let another upstream try too if they do badly."""
        now = self.clock.now()
        for attempt in list(race.running):
            if attempt.check_at > now:
                continue
            if not self._budget(call).has(now):
                self.hedging.look_later(call, attempt)
                call.note = "the budget of repeats is spent"
                continue
            weighed = await self.hedging.better(call, attempt)
            if weighed is None or attempt not in race.running:
                continue
            if not self._budget(call).take(self.clock.now()):
                call.note = "the budget of repeats is spent"
                continue
            self.tally.hedges += 1
            await self._start(call, race, weighed)

    def _budget(self, call: RelayedCall) -> RetryBudget:
        budget = self.budgets.get(call.service)
        if budget is None:
            budget = self.budgets[call.service] = self.new_budget()
        return budget

    def _learn(self, call: RelayedCall, attempt: Attempt) -> None:
        """Take in what an ended attempt says about its upstream and about the route."""
        ending, now = attempt.ending, attempt.ended_at
        self.tally.ended(ending.value)
        upstream, weighed = attempt.upstream, attempt.weighed
        evidence = upstream.evidence
        pace = evidence.pace_now(now)
        # What was expected without regard to the upstream's own slowness.
        usual = weighed.expected / pace
        if attempt.signals is not None and attempt.signals.load is not None:
            self.sharing.reported(upstream, attempt.signals.load)
        if ending is Ending.ANSWERED and attempt.answer.status < FIRST_FAILURE:
            evidence.succeeded(now)
            if not met_neighbour(attempt):
                evidence.measured(attempt.seconds / usual, now)
            self.costs.measured(call, weighed, attempt.seconds, attempt.answer.length or 0)
        elif ending is Ending.CANCELLED:
            if attempt.seconds > usual:
                evidence.measured(attempt.seconds / usual, now)
        elif ending is Ending.RESTARTED:
            return
        elif attempt.signals is not None and attempt.signals.other_upstream:
            self.upstreams.was_replaced(upstream)
        elif attempt.error is None:
            self.sharing.failed(upstream)


async def end_what_is_over(race: Race) -> None:
    """End attempts at upstreams that have started again: no answer will come."""
    for attempt in list(race.running):
        if attempt.upstream.is_over:
            await race.end(attempt)


def is_final(attempt: Attempt) -> bool:
    """Return whether an attempt's answer is the call's, whatever other upstreams might say."""
    if attempt.answer is None:
        return False
    failed = attempt.answer.status >= FIRST_FAILURE
    # A long answer has begun to come; it cannot be held back for a better one.
    return not failed or not isinstance(attempt.answer.body, BytesBody | None)


def met_neighbour(attempt: Attempt) -> bool:
    """Return whether other work slowed the upstream down after the call was sent there."""
    load = attempt.signals.load
    return load is not None and load.slowdown > NEIGHBOUR * attempt.weighed.slowdown

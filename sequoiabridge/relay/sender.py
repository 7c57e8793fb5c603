"""Executes the steps that `balancing.dispatch` yields for a call, until it has an answer."""

from __future__ import annotations

import curio

from ..balancing.call import CallAttempt, Ending
from ..balancing.cost_model import CostEstimate
from ..balancing.dispatch import Dispatch
from ..balancing.paths import PathTable
from ..balancing.send_policy import SendPolicy
from ..balancing.steps import (
    BackgroundProbe,
    CancelAttempt,
    Probe,
    RequestPermit,
    Send,
    Sleep,
    Step,
)
from ..exceptions import Refusal
from ..outcome import Reason
from ..pipeline.exchange import Answer
from ..timers import Clock
from ..upstreams.base import Connector
from .attempt import Attempt
from .call import RelayedCall
from .crash_guard import CrashGuard
from .dialect import Dialect
from .notices import Notices
from .paths.connection_failures import ConnectionFailures
from .permits import Permits
from .probing import Prober
from .race import Race
from .sharing import Sharing
from .unread import UnreadCalls


class Sender:
    """Sends calls to upstreams.

    Args:
        dispatch: Yields the steps to take for each call.
        crash_guard: Is told how attempts end.
        unread_calls: Waits for calls that were given up but may still be read.
        permits: Gets permits for calls to upstreams with limits.
        notices: Records what upstreams say of the calls that they want.
        policy: Decides whether a call may still be sent.
        paths: Is told which upstreams answer.
        failures: Decides whether connections that failed count against their upstreams.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        prober: Prober,
        connector: Connector,
        dialect: Dialect,
        sharing: Sharing,
        clock: Clock,
        crash_guard: CrashGuard,
        unread_calls: UnreadCalls,
        permits: Permits,
        notices: Notices,
        policy: SendPolicy,
        paths: PathTable,
        failures: ConnectionFailures,
    ):
        self.paths = paths
        self.failures = failures
        self.dispatch = dispatch
        self.prober = prober
        self.connector = connector
        self.dialect = dialect
        self.sharing = sharing
        self.clock = clock
        self.crash_guard = crash_guard
        self.unread_calls = unread_calls
        self.permits = permits
        self.notices = notices
        self.policy = policy

    async def send(self, call: RelayedCall) -> Answer:
        """Return the answer that the caller gets.

        Raises:
            Refusal: No upstream gave a usable answer.
        """
        self.crash_guard.blocks.begin_call(call)
        race = Race()
        winner = None
        try:
            winner = await self._run_steps(call, race)
            return winner.answer
        except Refusal as refusal:
            if refusal.reason is Reason.CRASHES_UPSTREAMS:
                self.crash_guard.blocks.record_withheld(call)
            raise
        finally:
            # Cancelled here, a call would keep the connections of its attempts.
            async with curio.disable_cancellation():
                await self._end_attempts(call, race, winner)

    async def _end_attempts(self, call: RelayedCall, race: Race, winner: Attempt | None) -> None:
        """End all attempts of a call but the winner, and settle its retry tokens."""
        await race.cancel_all()
        await race.close_answers(winner)
        for attempt in call.open_attempts:
            if attempt.ending is Ending.CANCELLED:
                self.dispatch.recorder.record(call, attempt)
            self.crash_guard.attempt_abandoned(call, attempt)
        await self._settle(call)

    async def _settle(self, call: RelayedCall) -> None:
        """Settle the retry tokens of a call, at once or when no upstream can read it any more."""
        unread = [attempt for attempt in call.attempts if attempt.may_be_read_later]
        if call.retry_tokens and unread:
            await curio.spawn(self._settle_later, call, unread, daemon=True)
        else:
            self.dispatch.settle(call)

    async def _settle_later(self, call: RelayedCall, unread: list[Attempt]) -> None:
        try:
            async with curio.TaskGroup() as waits:
                for attempt in unread:
                    await waits.spawn(self.unread_calls.wait, attempt)
        finally:
            self.dispatch.settle(call)

    async def _run_steps(self, call: RelayedCall, race: Race) -> Attempt:
        """Execute steps until dispatch returns the attempt with the final answer."""
        steps, result = self.dispatch.run(call), None
        while True:
            try:
                step = steps.send(result)
            except StopIteration as end:
                return end.value
            result = await self._perform(call, race, step)

    async def _perform(
        self, call: RelayedCall, race: Race, step: Step
    ) -> CallAttempt | bool | None:
        if isinstance(step, Probe):
            await self.prober.probe_all(step.upstreams, step.timeout)
        elif isinstance(step, BackgroundProbe):
            await curio.spawn(self.prober.probe(step.upstream), daemon=True)
        elif isinstance(step, RequestPermit):
            return await self.permits.request(step.upstream, step.priority)
        elif isinstance(step, Sleep):
            await curio.sleep(step.seconds)
        elif isinstance(step, Send):
            return await self._start_attempt(call, race, step.estimate)
        elif isinstance(step, CancelAttempt):
            await race.cancel(step.attempt)
        else:
            return await self._wait_for_attempt(call, race, step.until)
        return None

    async def _start_attempt(
        self, call: RelayedCall, race: Race, estimate: CostEstimate
    ) -> Attempt:
        attempt = Attempt(
            call,
            estimate,
            self.connector,
            self.dialect,
            self.clock,
            self.sharing,
            self.notices,
            self.policy,
            self.paths,
        )
        await race.start(attempt)
        return attempt

    async def _wait_for_attempt(
        self, call: RelayedCall, race: Race, until: float
    ) -> Attempt | None:
        attempt = await race.next_ended(until - self.clock.now())
        if attempt is not None:
            await self.crash_guard.attempt_ended(call, attempt)
            if attempt.connection_failed:
                await curio.spawn(self.failures.judge, attempt, daemon=True)
        return attempt

"""Filter that admits calls, queues them, or refuses those that cannot be answered in time."""

from __future__ import annotations

import curio

from ..exceptions import Refusal
from ..outcome import Outcome, Reason
from ..policy.tickets import Ticket, Verdict
from ..timers import Clock, OnDemandTimer, Timers
from .base import DEFAULT_RETRY_AFTER, Filter
from .exchange import Exchange
from .services import Services, ServiceState

MESSAGES = {
    Reason.QUEUE_FULL: "Too many requests wait for this service; come back later.",
    Reason.CANNOT_MEET_WINDOW: "The answer would come too late to be of use; come back later.",
    Reason.CALLER_SHARE: "This caller has its share of the queue already; come back later.",
}

EXPIRE_INTERVAL = 0.02
"""Seconds between checks for queued calls that can no longer be answered in time."""

UPSTREAM_REASONS = frozenset({Reason.TIMEOUT, Reason.UPSTREAM_FAILED, Reason.UPSTREAM_SHED})
"""Reasons of refusals that upstreams caused; they count as failures in the admission control."""


class QueuedCall:
    """A queued call: its task waits for `event`; `refused` is set if it was not admitted."""

    __slots__ = ("state", "event", "refused")

    def __init__(self, state: ServiceState):
        self.state = state
        self.event = curio.Event()
        self.refused = False


class Admit(Filter):
    """Applies the decisions of `policy.admission`; suspends the task of a queued call."""

    __slots__ = ("services", "clock", "tickets", "queued_calls", "expiry_timer")

    name = "admit"

    def __init__(self, services: Services, clock: Clock):
        self.services = services
        self.clock = clock
        self.tickets: dict[str, Ticket] = {}
        self.queued_calls: dict[Ticket, QueuedCall] = {}
        self.expiry_timer: OnDemandTimer | None = None

    def subscribe(self, timers: Timers) -> None:
        """Check for expired calls periodically while any call is queued."""
        needed = self.queued_calls.__len__
        self.expiry_timer = OnDemandTimer(timers, EXPIRE_INTERVAL, "admission", self.expire, needed)

    async def enter(self, exchange: Exchange) -> None:
        state = self.services.state_of(exchange)
        now = self.clock.now()
        rule = exchange.rule
        ticket = Ticket(exchange.caller, exchange.deadline, now, rule.weight, rule.kind)
        decision = state.queue.offer(ticket, now)
        await self._refuse_displaced(state)
        if decision.verdict is Verdict.REFUSED:
            raise _refusal(decision.reason, decision.retry_after)
        if decision.verdict is Verdict.QUEUED:
            await self._wait_for_admission(state, ticket)
        self.tickets[exchange.id] = ticket

    async def leave(self, exchange: Exchange, clean: bool) -> None:
        ticket = self.tickets.pop(exchange.id)
        state = self.services.state_of(exchange)
        await self._wake(self._end_ticket(state, ticket, exchange), refused=False)
        await self._refuse_displaced(state)

    def _end_ticket(self, state: ServiceState, ticket: Ticket, exchange: Exchange) -> list[Ticket]:
        now = self.clock.now()
        refusal = exchange.refusal
        if ticket.admitted_at is None or exchange.answer is None:
            return state.queue.withdraw(ticket, now)
        if refusal is not None and refusal.reason not in UPSTREAM_REASONS:
            return state.queue.withdraw(ticket, now)
        return state.queue.release(ticket, now, now - ticket.admitted_at, refusal is None)

    async def expire(self) -> None:
        """Refuse the queued calls that can no longer be answered in time."""
        now = self.clock.now()
        for state in {call.state for call in self.queued_calls.values()}:
            await self._wake(state.queue.expire(now), refused=True)

    async def _wait_for_admission(self, state: ServiceState, ticket: Ticket) -> None:
        call = self.queued_calls[ticket] = QueuedCall(state)
        if self.expiry_timer is not None:
            self.expiry_timer.wake()
        try:
            await call.event.wait()
        except BaseException:
            # The caller disconnected; if its call was just admitted, admit the next one instead.
            await self._wake(state.queue.abandon(ticket, self.clock.now()), refused=False)
            raise
        finally:
            del self.queued_calls[ticket]
        if call.refused:
            raise _refusal(Reason.CANNOT_MEET_WINDOW, DEFAULT_RETRY_AFTER)

    async def _refuse_displaced(self, state: ServiceState) -> None:
        """Refuse the calls that another call displaced from the queue."""
        if state.queue.displaced:
            await self._wake(state.queue.expire(self.clock.now()), refused=True)

    async def _wake(self, tickets: list[Ticket], refused: bool) -> None:
        for ticket in tickets:
            call = self.queued_calls.get(ticket)
            if call is None:
                continue
            call.refused = refused
            await call.event.set()


def _refusal(reason: Reason, retry_after: float | None) -> Refusal:
    return Refusal(
        503, Outcome.NOT_RUN, reason, MESSAGES[reason], retry_after or DEFAULT_RETRY_AFTER
    )

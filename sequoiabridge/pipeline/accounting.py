"""Keeps the evidence on upstreams true: each attempt that began ends in exactly one entry."""

from __future__ import annotations

from abc import ABC, abstractmethod

import curio

from ..exceptions import UpstreamFailed
from ..operators.steps import AttemptEnded
from ..policy.base import Failure
from ..timers import Clock
from ..upstreams.base import Connector
from .attempt import Attempt
from .exchange import Answer, Body, Exchange
from .services import ServiceState

ALIVE_TIMEOUT = 0.05
"""Seconds in which an upstream that lives opens a connection; it takes about 1 ms."""

SUSPECT_SILENCE = 1.0
"""Seconds of silence before a request after which an unanswering connection's mates are closed."""


class Observer(ABC):
    """Hears what upstreams did to calls, for what is shared with other VMs.

    Hooks are called on the request path: they must be quick and must not raise.
    """

    @abstractmethod
    def draining(self, upstream: str, incarnation: int) -> None:
        """An upstream said for the first time that it is leaving."""

    @abstractmethod
    def returned(self, upstream: str, incarnation: int) -> None:
        """An upstream that was leaving said with a newer incarnation that it is back."""

    @abstractmethod
    def failed(self, exchange: Exchange, upstream: str, failure: Failure) -> None:
        """An attempt ended without a usable answer."""

    @abstractmethod
    def crashed(self, exchange: Exchange, upstream: str) -> None:
        """An upstream died while it had the call: it takes no new connection either."""

    @abstractmethod
    def upload_crashed(self, service: str, upload: str, upstream: str) -> None:
        """An upstream died while an accepted upload was being delivered to it."""

    @abstractmethod
    def survived(self, exchange: Exchange) -> None:
        """A call was answered whole, while some requests are suspected of crashing upstreams."""

    @abstractmethod
    def retried(self, service: str, hedge: bool) -> None:
        """A call was sent once more."""


def hear_drain(
    state: ServiceState, observer: Observer, upstream: str, incarnation: int | None, now: float
) -> None:
    """Take in an upstream's word that it is leaving, if any; tell the fleet if that is news."""
    if incarnation is not None and state.pool.drain(upstream, incarnation, now):
        observer.draining(upstream, incarnation)


class CountedBody(Body):
    """An answer's body that is still coming; its end is what ends the attempt."""

    __slots__ = ("body", "accounting", "state", "attempt", "ended")

    def __init__(self, accounting: Accounting, state: ServiceState, attempt: Attempt, body: Body):
        self.body = body
        self.accounting = accounting
        self.state = state
        self.attempt = attempt
        self.ended = False

    async def read(self) -> bytes:
        try:
            piece = await self.body.read()
        except UpstreamFailed as error:
            self.ended = True
            await self.accounting.failed(self.state, self.attempt, error)
            raise
        if not piece and not self.ended:
            self.ended = True
            self.accounting.succeeded(self.state, self.attempt)
        return piece

    async def close(self) -> None:
        if not self.ended:
            self.ended = True
            await self.accounting.cancelled(self.state, self.attempt)
        await self.body.close()


class Accounting:
    """Tells the pool's evidence, the retry budget and the observer how attempts end."""

    __slots__ = ("connector", "clock", "observer")

    def __init__(self, connector: Connector, clock: Clock, observer: Observer):
        self.connector = connector
        self.clock = clock
        self.observer = observer

    def began(self, state: ServiceState, attempt: Attempt) -> None:
        """An attempt is about to connect."""
        attempt.exchange.attempts += 1
        state.pool.record_send(attempt.upstream, attempt.started)

    async def answered(self, state: ServiceState, attempt: Attempt, answer: Answer) -> Answer:
        """Take in an answer's head; its body may still be coming.

        Raises:
            UpstreamFailed: The upstream said that it did not run the request.
        """
        self._drain(state, attempt)
        if attempt.signals.not_run:
            await self._shed(state, attempt)
        if attempt.connection is None or answer.body is None:
            self.succeeded(state, attempt)
            await attempt.finish()
            return answer
        answer.body = CountedBody(self, state, attempt, answer.body)
        return answer

    def succeeded(self, state: ServiceState, attempt: Attempt) -> None:
        """A whole answer came."""
        elapsed = attempt.answered_at - attempt.started
        now = self.clock.now()
        status = attempt.answer.status
        state.pool.record_answer(attempt.upstream, now, status, elapsed, attempt.signals.load)
        state.retry_budget.record_success(now)
        state.hedging.record_latency(elapsed)
        if state.ledger.by_fingerprint:
            self.observer.survived(attempt.exchange)

    async def failed(self, state: ServiceState, attempt: Attempt, error: UpstreamFailed) -> None:
        """An attempt broke or stayed silent."""
        await attempt.abandon()
        self._drain(state, attempt)
        if not error.sent:
            attempt.proven_not_run()
        kind = _kind(attempt, error)
        await self._ended(state, attempt, kind)
        if kind is Failure.TIMEOUT:
            await self.suspect_mates(attempt)
        if kind is Failure.RESET:
            await self._look_for_crash(attempt)

    async def cancelled(self, state: ServiceState, attempt: Attempt) -> None:
        """The daemon gave the attempt up; the upstream is not to blame."""
        await attempt.abandon()
        self._drain(state, attempt)
        await self._ended(state, attempt, Failure.CANCELLED)

    async def suspect_mates(self, attempt: Attempt) -> None:
        """Close the idle connections of an upstream whose long silent connection did not answer."""
        if attempt.was_silent < SUSPECT_SILENCE:
            return
        await self.connector.suspect(attempt.upstream.address, attempt.started)

    def _drain(self, state: ServiceState, attempt: Attempt) -> None:
        """Take in that an upstream is leaving, also from an answer that did not come whole."""
        upstream, incarnation = attempt.upstream.name, attempt.signals.drain
        hear_drain(state, self.observer, upstream, incarnation, self.clock.now())

    async def _look_for_crash(self, attempt: Attempt) -> None:
        """Tell a death from a lost connection: a dead upstream takes no new connection.

        Only a call that may be sent again waits for this; any other has its answer at once.
        """
        if attempt.exchange.rule.idempotent:
            await self._tell_crash(attempt)
        else:
            await curio.spawn(self._tell_crash(attempt), daemon=True)

    async def _tell_crash(self, attempt: Attempt) -> None:
        upstream = attempt.upstream
        if not await self.connector.reachable(upstream.address, ALIVE_TIMEOUT):
            self.observer.crashed(attempt.exchange, upstream.name)

    async def _shed(self, state: ServiceState, attempt: Attempt) -> None:
        await attempt.abandon()
        attempt.proven_not_run()
        await self._ended(state, attempt, Failure.SHED)
        raise UpstreamFailed(f"{attempt.upstream.name} shed the request.", sent=False)

    async def _ended(self, state: ServiceState, attempt: Attempt, kind: Failure) -> None:
        now = self.clock.now()
        seconds = now - attempt.started
        state.pool.record_failure(attempt.upstream, now, kind, seconds)
        if kind is not Failure.CANCELLED:
            step = AttemptEnded(attempt.upstream.name, kind, attempt.sent, seconds)
            attempt.exchange.note(step)
        self.observer.failed(attempt.exchange, attempt.upstream.name, kind)


def _kind(attempt: Attempt, error: UpstreamFailed) -> Failure:
    if error.timed_out:
        return Failure.TIMEOUT
    if not attempt.sent:
        return Failure.CONNECT
    return Failure.RESET

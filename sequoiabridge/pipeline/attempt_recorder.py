"""Records the result of each attempt in the pool, the budgets and the observer, exactly once."""

from __future__ import annotations

from abc import ABC, abstractmethod

import curio

from ..balancing.call import MIN_FAILURE_STATUS
from ..exceptions import UpstreamFailed
from ..operators.steps import AttemptFailed
from ..policy.base import Failure
from ..timers import Clock
from ..upstreams.base import Connector
from .attempt import Attempt
from .exchange import Answer, Body, Exchange
from .services import ServiceState

REACHABLE_TIMEOUT = 0.05
"""Seconds within which a running upstream accepts a connection."""

MIN_SUSPECT_IDLE_SECONDS = 1.0
"""Minimum idle seconds of a connection without an answer after which the others are closed."""


class Observer(ABC):
    """Receives events of upstreams and calls, to share them with peers.

    Methods are called on the request path: they must be fast and must not raise.
    """

    @abstractmethod
    def record_drain(self, upstream: str, incarnation: int) -> None:
        """Record that an upstream reported for the first time that it is draining."""

    @abstractmethod
    def record_return(self, upstream: str, incarnation: int) -> None:
        """Record that a drained upstream is healthy again with a newer incarnation."""

    @abstractmethod
    def record_failure(self, exchange: Exchange, upstream: str, failure: Failure) -> None:
        """Record that an attempt ended without a usable answer."""

    @abstractmethod
    def record_crash(self, exchange: Exchange, upstream: str) -> None:
        """Record that an upstream crashed during a call: it accepts no new connection."""

    @abstractmethod
    def record_upload_crash(self, service: str, upload: str, upstream: str) -> None:
        """Record that an upstream crashed while an upload was being delivered to it."""

    @abstractmethod
    def record_answer(self, exchange: Exchange, age: float) -> None:
        """Record an answer to an attempt that started `age` seconds ago.

        Called only while there are crash suspects.
        """

    @abstractmethod
    def record_retry(self, service: str, hedge: bool) -> None:
        """Record a retry or a hedge."""


def apply_drain(
    state: ServiceState, observer: Observer, upstream: str, incarnation: int | None, now: float
) -> None:
    """Drain an upstream that reports it; notify the observer if the drain is new."""
    if incarnation is not None and state.pool.drain(upstream, incarnation, now):
        observer.record_drain(upstream, incarnation)


class RecordedBody(Body):
    """An answer's body that is still being received; its end is recorded as that of the attempt."""

    __slots__ = ("body", "recorder", "state", "attempt", "ended")

    def __init__(
        self, recorder: AttemptRecorder, state: ServiceState, attempt: Attempt, body: Body
    ):
        self.body = body
        self.recorder = recorder
        self.state = state
        self.attempt = attempt
        self.ended = False

    async def read(self) -> bytes:
        try:
            piece = await self.body.read()
        except UpstreamFailed as error:
            self.ended = True
            await self.recorder.record_failure(self.state, self.attempt, error)
            raise
        if not piece and not self.ended:
            self.ended = True
            self.recorder.record_success(self.state, self.attempt)
        return piece

    async def close(self) -> None:
        if not self.ended:
            self.ended = True
            await self.recorder.record_cancellation(self.state, self.attempt)
        await self.body.close()


class AttemptRecorder:
    """Records attempts in the pool, the retry budget, the hedging delay and the observer."""

    __slots__ = ("connector", "clock", "observer")

    def __init__(self, connector: Connector, clock: Clock, observer: Observer):
        self.connector = connector
        self.clock = clock
        self.observer = observer

    def record_start(self, state: ServiceState, attempt: Attempt) -> None:
        """Record that an attempt is about to connect."""
        attempt.exchange.attempts += 1
        state.pool.record_send(attempt.upstream, attempt.started)

    async def record_answer_head(
        self, state: ServiceState, attempt: Attempt, answer: Answer
    ) -> Answer:
        """Record an answer whose body may still be incomplete, and return it.

        Raises:
            UpstreamFailed: The upstream reported that it did not run the request.
        """
        self._apply_drain(state, attempt)
        if attempt.metadata.not_run:
            await self._record_shed(state, attempt)
        if attempt.connection is None or answer.body is None:
            self.record_success(state, attempt)
            await attempt.finish()
            return answer
        answer.body = RecordedBody(self, state, attempt, answer.body)
        return answer

    def record_success(self, state: ServiceState, attempt: Attempt) -> None:
        """Record a complete answer."""
        elapsed = attempt.answered_at - attempt.started
        now = self.clock.now()
        status = attempt.answer.status
        state.pool.record_answer(attempt.upstream, now, status, elapsed, attempt.metadata.load)
        state.retry_budget.record_success(now)
        state.hedging.record_latency(elapsed)
        # A failure may come from an upstream that did not run the request.
        if state.ledger.by_fingerprint and status < MIN_FAILURE_STATUS:
            self.observer.record_answer(attempt.exchange, now - attempt.started)

    async def record_failure(
        self, state: ServiceState, attempt: Attempt, error: UpstreamFailed
    ) -> None:
        """Record that an attempt failed or timed out."""
        await attempt.abandon()
        self._apply_drain(state, attempt)
        if not error.sent:
            attempt.mark_not_run()
        kind = _failure_kind(attempt, error)
        await self._record_end(state, attempt, kind)
        if kind is Failure.TIMEOUT:
            await self.close_idle_connections(attempt)
        if kind is Failure.RESET:
            await self._detect_crash(attempt)

    async def record_cancellation(self, state: ServiceState, attempt: Attempt) -> None:
        """Record that the daemon cancelled an attempt, which is no failure of the upstream."""
        await attempt.abandon()
        self._apply_drain(state, attempt)
        await self._record_end(state, attempt, Failure.CANCELLED)

    async def close_idle_connections(self, attempt: Attempt) -> None:
        """Close an upstream's older idle connections if a long idle one gave no answer."""
        if attempt.idle_seconds < MIN_SUSPECT_IDLE_SECONDS:
            return
        await self.connector.close_older(attempt.upstream.address, attempt.started)

    def _apply_drain(self, state: ServiceState, attempt: Attempt) -> None:
        """Apply a drain that an answer reported, even if the answer was incomplete."""
        upstream, incarnation = attempt.upstream.name, attempt.metadata.drain
        apply_drain(state, self.observer, upstream, incarnation, self.clock.now())

    async def _detect_crash(self, attempt: Attempt) -> None:
        """Record a crash if the upstream accepts no new connection.

        Only idempotent calls wait for the result, since it decides about their retries.
        """
        if attempt.exchange.rule.idempotent:
            await self._record_if_unreachable(attempt)
        else:
            await curio.spawn(self._record_if_unreachable(attempt), daemon=True)

    async def _record_if_unreachable(self, attempt: Attempt) -> None:
        upstream = attempt.upstream
        if not await self.connector.is_reachable(upstream.address, REACHABLE_TIMEOUT):
            self.observer.record_crash(attempt.exchange, upstream.name)

    async def _record_shed(self, state: ServiceState, attempt: Attempt) -> None:
        await attempt.abandon()
        attempt.mark_not_run()
        await self._record_end(state, attempt, Failure.SHED)
        raise UpstreamFailed(f"{attempt.upstream.name} shed the request.", sent=False)

    async def _record_end(self, state: ServiceState, attempt: Attempt, kind: Failure) -> None:
        now = self.clock.now()
        seconds = now - attempt.started
        state.pool.record_failure(attempt.upstream, now, kind, seconds)
        if kind is not Failure.CANCELLED:
            step = AttemptFailed(attempt.upstream.name, kind, attempt.sent, seconds)
            attempt.exchange.note(step)
        self.observer.record_failure(attempt.exchange, attempt.upstream.name, kind)


def _failure_kind(attempt: Attempt, error: UpstreamFailed) -> Failure:
    if error.timed_out:
        return Failure.TIMEOUT
    if not attempt.sent:
        return Failure.CONNECT
    return Failure.RESET

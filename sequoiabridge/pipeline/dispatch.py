"""Sends calls to upstreams, with retries and hedges where `policy.retries` allows them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection

import curio

from ..exceptions import Refusal, UpstreamFailed
from ..operators.steps import RetryDecision, UpstreamChosen
from ..outcome import Reason
from ..policy.retries import may_retry
from ..policy.upstream_state import UpstreamState
from ..timers import Clock
from ..upstreams.base import Connector
from .attempt import Attempt
from .attempt_recorder import AttemptRecorder, Observer
from .base import DEFAULT_RETRY_AFTER
from .buffering import ReplayableBody
from .crash_guard import is_request_blocked
from .exchange import Answer, BytesBody, Exchange
from .hedge import Race
from .services import Services, ServiceState

FIRST_SERVER_ERROR = 500


ProbeBeforeChoice = Callable[[ServiceState, Collection[str]], Awaitable[None]]
"""Probes the best candidates before a choice, as far as the probe budget allows."""


class Dispatch:
    """The last step of the pipeline: sends a call to upstreams until one answers.

    Args:
        probe_before_choice: Called before each choice of an upstream; None for no probes.
    """

    __slots__ = ("services", "connector", "clock", "observer", "recorder", "probe_before_choice")

    def __init__(
        self,
        services: Services,
        connector: Connector,
        clock: Clock,
        observer: Observer,
        probe_before_choice: ProbeBeforeChoice | None = None,
    ):
        self.services = services
        self.connector = connector
        self.clock = clock
        self.observer = observer
        self.recorder = AttemptRecorder(connector, clock, observer)
        self.probe_before_choice = probe_before_choice

    async def run(self, exchange: Exchange) -> Answer:
        """Return an upstream's answer, or raise the `Refusal` that ends the call.

        A server error of an upstream is returned if no retry brings a better answer.
        """
        state = self.services.state_of(exchange)
        self.services.record_call(state, self.clock.now())
        tried: list[str] = []
        server_error: Answer | None = None
        failure: UpstreamFailed | None = None
        while (upstream := await self._choose(exchange, state, tried)) is not None:
            attempt = self._start_attempt(exchange, state, upstream, fresh=False)
            try:
                answer = await self._first_answer(exchange, state, attempt, tried)
            except UpstreamFailed as error:
                failure = error
            else:
                if answer.status < FIRST_SERVER_ERROR:
                    return answer
                server_error = answer
            if not self._may_retry(exchange, state, server_error):
                break
        if server_error is not None:
            return server_error
        raise _refusal(exchange, failure)

    async def _choose(
        self, exchange: Exchange, state: ServiceState, tried: list[str]
    ) -> UpstreamState | None:
        if self.probe_before_choice is not None:
            await self.probe_before_choice(state, tried)
        now = self.clock.now()
        upstream = state.pool.choose(now, tried)
        if upstream is not None and upstream.name in tried:
            upstream = None
        # The explanation costs as much as the choice: add it only to calls worth explaining.
        if tried or upstream is None or exchange.notes is not None:
            name = upstream.name if upstream is not None else None
            exchange.note(UpstreamChosen(name, state.pool.explain(now)))
        if tried and upstream is not None:
            self.observer.record_retry(exchange.service.name, False)
        return upstream

    def _start_attempt(
        self, exchange: Exchange, state: ServiceState, upstream: UpstreamState, fresh: bool
    ) -> Attempt:
        attempt = Attempt(exchange, upstream, self.connector, self.clock, fresh)
        self.recorder.record_start(state, attempt)
        return attempt

    async def _first_answer(
        self, exchange: Exchange, state: ServiceState, attempt: Attempt, tried: list[str]
    ) -> Answer:
        """Wait for one attempt's answer; hedge the call after its hedging delay."""
        tried.append(attempt.upstream.name)
        hedge_at = self._hedge_at(exchange, state, attempt)
        until = min(hedge_at, exchange.deadline)
        try:
            async with curio.timeout_after(max(0.0, until - self.clock.now())):
                answer = await attempt.run()
        except curio.TaskTimeout:
            if hedge_at < exchange.deadline and attempt.resumable:
                return await self._hedge(exchange, state, attempt, tried)
            error = _timeout_error(attempt)
            await self.recorder.record_failure(state, attempt, error)
            raise error from None
        except UpstreamFailed as error:
            await self.recorder.record_failure(state, attempt, error)
            raise
        except BaseException:
            await self.recorder.record_cancellation(state, attempt)
            raise
        return await self._accept_answer(exchange, state, attempt, answer)

    async def _hedge(
        self, exchange: Exchange, state: ServiceState, first: Attempt, tried: list[str]
    ) -> Answer:
        """Start a second attempt on a new connection and return the first answer of both."""
        attempts = [first]
        upstream = state.pool.choose(self.clock.now(), tried)
        remaining = exchange.deadline - self.clock.now()
        is_usable = upstream is not None and upstream.name not in tried
        is_blocked = is_request_blocked(state.ledger, exchange, self.clock.now())
        if is_usable and not is_blocked and self._take_retry_token(state):
            attempts.append(self._start_attempt(exchange, state, upstream, fresh=True))
            tried.append(upstream.name)
            self.observer.record_retry(exchange.service.name, True)
            exchange.note(RetryDecision("hedge", True, f"silent, so also sent to {upstream.name}"))
        race = Race(self.recorder, state, attempts)
        try:
            async with curio.timeout_after(max(0.0, remaining)):
                winner, answer = await race.run()
        except curio.TaskTimeout:
            await race.record_timeout()
            raise _timeout_error(first) from None
        if winner is not first:
            await self.recorder.close_idle_connections(first)
        return await self._accept_answer(exchange, state, winner, answer)

    async def _accept_answer(
        self, exchange: Exchange, state: ServiceState, attempt: Attempt, answer: Answer
    ) -> Answer:
        exchange.upstream = attempt.upstream.name
        return await self.recorder.record_answer_head(state, attempt, answer)

    def _hedge_at(self, exchange: Exchange, state: ServiceState, attempt: Attempt) -> float:
        if not (exchange.rule.hedge and exchange.rule.idempotent and _is_replayable(exchange)):
            return float("inf")
        return attempt.started + state.hedging.delay

    def _take_retry_token(self, state: ServiceState) -> bool:
        return state.retry_budget.take(self.clock.now())

    def _may_retry(
        self,
        exchange: Exchange,
        state: ServiceState,
        server_error: Answer | None,
    ) -> bool:
        if server_error is not None and not isinstance(server_error.body, BytesBody | None):
            return False
        body = exchange.request.body
        if body is not None and not body.is_held:
            exchange.note(RetryDecision("retry", False, "its body was streamed and is gone"))
            return False
        now = self.clock.now()
        if is_request_blocked(state.ledger, exchange, now):
            exchange.note(RetryDecision("retry", False, "upstreams crashed on this request"))
            return False
        remaining = exchange.deadline - now
        possibly_run = exchange.unproven_attempts > 0
        if not may_retry(
            exchange.rule, possibly_run, not possibly_run, exchange.attempts, remaining
        ):
            exchange.note(RetryDecision("retry", False, "not allowed, or no attempt or time left"))
            return False
        if not self._take_retry_token(state):
            exchange.note(RetryDecision("retry", False, "the retry budget is spent"))
            return False
        return True


def _is_replayable(exchange: Exchange) -> bool:
    body = exchange.request.body
    return body is None or isinstance(body, ReplayableBody)


def _timeout_error(attempt: Attempt) -> UpstreamFailed:
    message = f"{attempt.upstream.name} did not answer in time."
    return UpstreamFailed(message, sent=attempt.sent, timed_out=True)


def _refusal(exchange: Exchange, failure: UpstreamFailed | None) -> Refusal:
    if failure is None:
        message = "No upstream can take this request now; come back later."
        return Refusal(503, exchange.outcome, Reason.NO_UPSTREAM, message, DEFAULT_RETRY_AFTER)
    if failure.timed_out:
        message = "No answer came in time; if the outcome is unknown, ask before sending again."
        return Refusal(504, exchange.outcome, Reason.TIMEOUT, message, DEFAULT_RETRY_AFTER)
    if not exchange.unproven_attempts:
        message = "No upstream took this request; it did not run. Come back later."
        return Refusal(503, exchange.outcome, Reason.UPSTREAM_SHED, message, DEFAULT_RETRY_AFTER)
    message = "The upstream broke off; whether the request ran is not known."
    return Refusal(502, exchange.outcome, Reason.UPSTREAM_FAILED, message, DEFAULT_RETRY_AFTER)

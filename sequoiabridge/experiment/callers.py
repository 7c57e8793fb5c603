"""Simulated callers, which send requests at random times, retry them, and time out."""

from __future__ import annotations

from random import Random

from ..balancing.routes import Route, Target
from .results import RequestOutcome, RequestRecord
from .scene import CallKind
from .scheduler import Scheduler
from .vm import ModelCall, ModelVm

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Longest Retry-After that a caller follows, as a share of the time until its timeout."""

MIN_TIMEOUT_SHARE = 0.85
"""Shortest caller timeout, as a share of the deadline of the call kind."""

DEFAULT_RETRY_DELAY_SECONDS = 0.1
"""Delay before a retry if the caller got no Retry-After or does not follow it."""


def build_route(kind: CallKind) -> Route:
    """Return a route for the calls of a kind."""
    target = (Target(kind.service, 1.0),)
    attempts = 2 if kind.idempotent else 1
    return Route(
        kind.name,
        b"/",
        kind.idempotent,
        kind.timeout,
        kind.target,
        attempts,
        int(kind.priority),
        target,
    )


class CallerRequest:
    """One request of a caller, with all retries that the caller makes.

    Attributes:
        caller_timeout: Seconds that the caller waits, retries included.
        abuse_factor: Additional retries, as a multiple of the usual number. A caller with a value
            above 0 does not follow Retry-After.
    """

    __slots__ = (
        "kind",
        "route",
        "work",
        "caller_timeout",
        "started_at",
        "retries_left",
        "abuse_factor",
        "record",
    )

    def __init__(
        self,
        kind: CallKind,
        route: Route,
        work: float,
        caller_timeout: float,
        started_at: float,
        abuse_factor: int,
    ):
        self.kind = kind
        self.route = route
        self.work = work
        self.caller_timeout = caller_timeout
        self.started_at = started_at
        self.retries_left = int(kind.tries) * (1 + abuse_factor)
        self.abuse_factor = abuse_factor
        self.record = RequestRecord(kind.name, started_at, kind.worth, kind.target)


class Callers:
    """All callers of a scene. Each call, retries included, goes to a random VM.

    Attributes:
        records: Outcome of each request so far.
        abusive_share: Share of new requests with `abuse_factor` additional retries.
        rate_factor: Multiplier of the arrival rate of all kinds.
    """

    def __init__(self, vms: list[ModelVm], scheduler: Scheduler, random: Random):
        self.vms = vms
        self.scheduler = scheduler
        self.random = random
        self.records: list[RequestRecord] = []
        self.abusive_share = 0.0
        self.abuse_factor = 0
        self.rate_factor = 1.0

    def start(self, kind: CallKind, until: float) -> None:
        """Generate requests of a kind until the simulated time `until`."""
        self._schedule_next(kind, build_route(kind), until)

    def _schedule_next(self, kind: CallKind, route: Route, until: float) -> None:
        interval = self.random.expovariate(kind.per_second * self.rate_factor)
        if self.scheduler.now() + interval < until:
            self.scheduler.call_later(interval, self._arrive, kind, route, until)

    def _arrive(self, kind: CallKind, route: Route, until: float) -> None:
        work = kind.work * self.random.lognormvariate(0.0, kind.spread)
        abuse_factor = self.abuse_factor if self.random.random() < self.abusive_share else 0
        caller_timeout = kind.deadline * self.random.uniform(MIN_TIMEOUT_SHARE, 1.0)
        request = CallerRequest(
            kind, route, work, caller_timeout, self.scheduler.now(), abuse_factor
        )
        self.records.append(request.record)
        self._send(request)
        self._schedule_next(kind, route, until)

    def _send(self, request: CallerRequest) -> None:
        now = self.scheduler.now()
        caller_timeout = request.started_at + request.caller_timeout - now
        if caller_timeout <= 0.01:
            return
        vm = self.random.choice(self.vms)
        call = ModelCall(now, request.work, lambda *answer: self._answered(request, *answer))
        call.route, call.service = request.route, request.kind.service
        self.scheduler.call_later(caller_timeout, vm.abandon, call)
        vm.accept(call, caller_timeout)

    def _answered(self, request: CallerRequest, status: int, retry_after: float | None) -> None:
        now = self.scheduler.now()
        if 200 <= status < 300:
            request.record.mark_served(now, request.kind.late_worth)
            return
        request.record.outcome = RequestOutcome.REFUSED if status == 503 else RequestOutcome.FAILED
        may_retry = request.kind.idempotent or status == 503
        time_left = request.started_at + request.caller_timeout - now
        if not may_retry or request.retries_left <= 0:
            return
        request.retries_left -= 1
        follows_retry_after = (
            retry_after is not None
            and retry_after <= MAX_RETRY_AFTER_SHARE * time_left
            and not request.abuse_factor
        )
        self.scheduler.call_later(
            retry_after if follows_retry_after else DEFAULT_RETRY_DELAY_SECONDS, self._send, request
        )

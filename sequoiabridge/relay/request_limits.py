"""The limits that upstreams name in their answers: records and logs them."""

from __future__ import annotations

from collections.abc import Callable

from ..balancing.request_limit import LimitReport
from ..balancing.upstream import Upstream
from ..component import Component
from ..timers import Clock
from .decisions import DecisionLog
from .upstreams import UpstreamList


class RequestLimits(Component):
    """Records the limits of the upstreams.

    Attributes:
        invalid: Number of answers whose limit could not be read.
        on_change: Called with an upstream whose answer to this VM changed its limit.
    """

    name = "request_limits"

    def __init__(self, upstreams: UpstreamList, decisions: DecisionLog, clock: Clock):
        self.upstreams = upstreams
        self.decisions = decisions
        self.clock = clock
        self.invalid = 0
        self.on_change: Callable[[Upstream], None] = lambda upstream: None

    def limited(self) -> list[Upstream]:
        """Return the listed upstreams that have a limit."""
        return [u for u in self.upstreams.by_id.values() if u.stats.request_limit.rate is not None]

    def record_answer(self, upstream: Upstream, report: LimitReport, sent_at: float) -> None:
        """Record what an upstream's answer to a call says.

        An answer without a limit ends the limit, unless the call was sent before the limit was last
        observed.

        Args:
            sent_at: Time at which the call was sent.
        """
        if report.problem:
            self._record_problem(upstream, report.problem)
        elif report.rate is None:
            self._observe_answer(upstream, None, sent_at)
        else:
            self._observe_answer(upstream, report.rate, self.clock.now())

    def record_health_answer(self, upstream: Upstream, report: LimitReport) -> None:
        """Record a limit named in the answer to a health check; without one it says nothing."""
        if report.problem:
            self._record_problem(upstream, report.problem)
        elif report.rate is not None:
            self._observe_answer(upstream, report.rate, self.clock.now())

    def record_peer_report(self, lifetime: str, rate: float | None, age: float) -> bool:
        """Record what a peer knew of an upstream's limit `age` seconds ago; return whether that
        changed the limit."""
        upstream = self.upstreams.find_lifetime(lifetime)
        return upstream is not None and self._observe(upstream, rate, self.clock.now() - age)

    def record_send(self, upstream: Upstream) -> None:
        """Count a call that this VM sends to an upstream with a limit."""
        if upstream.stats.request_limit.rate is not None:
            upstream.stats.request_limit.sends += 1

    def dump(self) -> dict:
        """Describe the limits for the state dump."""
        now = self.clock.now()
        return {
            upstream.id: {
                "requests_per_second": upstream.stats.request_limit.rate,
                "named_seconds_ago": round(now - upstream.stats.request_limit.named_at, 1),
                "observed_seconds_ago": round(now - upstream.stats.request_limit.observed_at, 1),
                "sent_here": upstream.stats.request_limit.sends,
                "permits_granted": upstream.stats.request_limit.granted,
                "permits_refused": upstream.stats.request_limit.refused,
            }
            for upstream in self.limited()
        }

    def _observe_answer(self, upstream: Upstream, rate: float | None, at: float) -> None:
        if self._observe(upstream, rate, at):
            self.on_change(upstream)

    def _observe(self, upstream: Upstream, rate: float | None, at: float) -> bool:
        limit = upstream.stats.request_limit
        previous, sends = limit.rate, limit.sends
        if not limit.observe(rate, at):
            return False
        self.decisions.event(
            "upstream-limit", upstream=upstream.id, limit=rate, was=previous, sent_here=sends
        )
        return True

    def _record_problem(self, upstream: Upstream, problem: str) -> None:
        """Count a value that could not be read, and log it unless it is the same as before."""
        self.invalid += 1
        limit = upstream.stats.request_limit
        if limit.problem == problem:
            return
        limit.problem = problem
        self.decisions.event(
            "upstream-limit-invalid", upstream=upstream.id, why=problem, kept=limit.rate
        )

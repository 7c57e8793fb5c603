"""The upstreams that say in their answers that they leave: records and logs them."""

from __future__ import annotations

from ..balancing.departure import DepartureReport, DepartureSource
from ..balancing.upstream import Upstream
from ..timers import Clock
from .decisions import DecisionLog
from .upstreams import UpstreamList


class Departures:
    """Records which upstreams leave.

    Attributes:
        invalid: Number of answers that could not be read.
    """

    def __init__(self, upstreams: UpstreamList, decisions: DecisionLog, clock: Clock):
        self.upstreams = upstreams
        self.decisions = decisions
        self.clock = clock
        self.invalid = 0

    def record(self, upstream: Upstream, report: DepartureReport, source: DepartureSource) -> None:
        """Record what an upstream's answer to this VM says."""
        if report.problem:
            self._record_problem(upstream, report.problem)
        elif report.leaving:
            self._record_departure(upstream, source)

    def record_send(self, upstream: Upstream, call_id: str, chosen_at: float) -> None:
        """Count and log a call that this VM sends to an upstream that leaves."""
        departure = upstream.departure
        if departure.since is None:
            return
        departure.sends += 1
        self.decisions.event(
            "sent-to-leaving",
            upstream=upstream.id,
            id=call_id,
            after=round(self.clock.now() - departure.since, 3),
            chosen_before=chosen_at < departure.since,
        )

    def leaving(self) -> list[Upstream]:
        """Return the listed upstreams that leave."""
        return [u for u in self.upstreams.by_id.values() if u.departure.since is not None]

    def dump(self) -> dict:
        """Describe the departures for the state dump."""
        now = self.clock.now()
        return {
            upstream.id: {
                "known_seconds": round(now - upstream.departure.since, 3),
                "told_by": upstream.departure.source.value,
                "sent_since": upstream.departure.sends,
            }
            for upstream in self.leaving()
        }

    def _record_departure(self, upstream: Upstream, source: DepartureSource) -> None:
        departure = upstream.departure
        if departure.since is not None:
            return
        departure.since, departure.source = self.clock.now(), source
        self.decisions.event("upstream-leaving", upstream=upstream.id, told_by=source.value)

    def _record_problem(self, upstream: Upstream, problem: str) -> None:
        """Count a value that could not be read, and log it unless it is the same as before."""
        self.invalid += 1
        if upstream.departure.problem != problem:
            upstream.departure.problem = problem
            self.decisions.event("upstream-leaving-invalid", upstream=upstream.id, why=problem)

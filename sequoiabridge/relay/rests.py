"""The rests that upstreams ask of this VM: records and logs them."""

from __future__ import annotations

from ..balancing.rest import RestReport
from ..balancing.upstream import Upstream
from ..timers import Clock
from .decisions import DecisionLog
from .upstreams import UpstreamList


class Rests:
    """Records the rests of the upstreams.

    Attributes:
        invalid: Number of answers whose rest could not be read.
    """

    def __init__(self, upstreams: UpstreamList, decisions: DecisionLog, clock: Clock):
        self.upstreams = upstreams
        self.decisions = decisions
        self.clock = clock
        self.invalid = 0

    def record(self, upstream: Upstream, report: RestReport) -> None:
        """Record what an upstream's answer says."""
        if report.problem:
            self._record_problem(upstream, report.problem)
        elif report.seconds is not None:
            self._record_rest(upstream, report.seconds)

    def record_send(self, upstream: Upstream, call_id: str, chosen_at: float) -> None:
        """Count and log a call that this VM sends during a rest."""
        rest, now = upstream.stats.rest, self.clock.now()
        if not rest.is_active(now):
            return
        rest.sends += 1
        self.decisions.event(
            "sent-in-rest",
            upstream=upstream.id,
            id=call_id,
            after=round(now - rest.asked_at, 3),
            chosen_before=chosen_at < rest.asked_at,
        )

    def asked(self) -> list[Upstream]:
        """Return the listed upstreams that have asked for a rest."""
        return [u for u in self.upstreams.by_id.values() if u.stats.rest.count]

    def dump(self) -> dict:
        """Describe the rests for the state dump."""
        now = self.clock.now()
        return {
            upstream.id: {
                "seconds_left": round(upstream.stats.rest.seconds_left(now), 3),
                "asked_seconds_ago": round(now - upstream.stats.rest.asked_at, 3),
                "asked": upstream.stats.rest.count,
                "sent_in_rest": upstream.stats.rest.sends,
                "withheld": upstream.stats.rest.withheld,
            }
            for upstream in self.asked()
        }

    def _record_rest(self, upstream: Upstream, seconds: float) -> None:
        rest, now = upstream.stats.rest, self.clock.now()
        left = rest.seconds_left(now)
        rest.ask(seconds, now)
        self.decisions.event(
            "upstream-rest",
            upstream=upstream.id,
            seconds=seconds,
            left=round(left, 3),
            sent_in_rest=rest.sends,
        )

    def _record_problem(self, upstream: Upstream, problem: str) -> None:
        """Count a value that could not be read, and log it unless it is the same as before."""
        self.invalid += 1
        rest = upstream.stats.rest
        if rest.problem != problem:
            rest.problem = problem
            self.decisions.event("upstream-rest-invalid", upstream=upstream.id, why=problem)

"""The upstreams that say in their answers that they leave: retires them and tells the peers.

A departure ends with the lifetime: no entry takes it back, and a new lifetime is another upstream.
"""

from __future__ import annotations

from ..balancing.departure import DepartureReport, DepartureSource
from ..balancing.upstream import Upstream
from ..timers import Clock
from .decisions import DecisionLog
from .hello import Hello
from .messages import UpstreamLeaving
from .sharing import Sharing
from .upstreams import UpstreamList


class Departures:
    """Records which upstreams leave.

    Args:
        sharing: Tells the peers.

    Attributes:
        invalid: Number of answers that could not be read.
    """

    def __init__(
        self, upstreams: UpstreamList, sharing: Sharing, decisions: DecisionLog, clock: Clock
    ):
        self.upstreams = upstreams
        self.sharing = sharing
        self.decisions = decisions
        self.clock = clock
        self.invalid = 0
        sharing.on_departure = self._handle_message

    def record(self, upstream: Upstream, report: DepartureReport, source: DepartureSource) -> None:
        """Record what an upstream's answer to this VM says."""
        if report.problem:
            self._record_problem(upstream, report.problem)
        elif report.leaving and self._record_departure(upstream, source):
            self.sharing.broadcast(UpstreamLeaving(upstream.lifetime))

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

    def handle_hello(self, hello: Hello) -> None:
        """Tell a daemon that has just started which upstreams leave."""
        for upstream in self.leaving():
            self.sharing.channel.send(UpstreamLeaving(upstream.lifetime), [hello.address])

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
                "withheld": upstream.departure.withheld,
            }
            for upstream in self.leaving()
        }

    def _handle_message(self, message: UpstreamLeaving) -> None:
        upstream = self.upstreams.find_lifetime(message.upstream)
        if upstream is not None:
            self._record_departure(upstream, DepartureSource.PEER)

    def _record_departure(self, upstream: Upstream, source: DepartureSource) -> bool:
        """Retire an upstream that leaves; return False if that was known."""
        departure = upstream.departure
        if departure.since is not None:
            return False
        departure.since, departure.source = self.clock.now(), source
        self.decisions.event("upstream-leaving", upstream=upstream.id, told_by=source.value)
        self.upstreams.record_departure(upstream)
        return True

    def _record_problem(self, upstream: Upstream, problem: str) -> None:
        """Count a value that could not be read, and log it unless it is the same as before."""
        self.invalid += 1
        if upstream.departure.problem != problem:
            upstream.departure.problem = problem
            self.decisions.event("upstream-leaving-invalid", upstream=upstream.id, why=problem)

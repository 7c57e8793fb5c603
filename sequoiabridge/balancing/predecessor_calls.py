"""Calls of the earlier process of this VM that upstreams may still read. No I/O.

A stopped upstream reads what was sent to it when it continues, also if the sender has been killed
meanwhile. A new process does not know what its predecessor sent; it can only see that an upstream
has answered since.
"""

from __future__ import annotations

from .candidates import Candidates
from .upstream import Upstream

MAX_UNREAD_SECONDS = 30.0
"""Seconds after which an upstream that answers nothing counts as dead. A longer time would keep
tokens in use for calls at upstreams that have lost power."""


class PredecessorCalls:
    """Tells for each service whether an upstream may still read calls of the earlier process.

    Args:
        candidates: The upstreams of each service that this VM uses, and its predecessor used.
        started_at: Time at which this process started.
        first_start: The whole fleet starts for the first time, so there was no earlier process.

    Attributes:
        unsettled: Upstreams that have answered nothing yet, by service.
        settled_at: Latest time at which there was such an upstream, by service.
    """

    def __init__(self, candidates: Candidates, started_at: float, first_start: bool):
        self.candidates = candidates
        self.started_at = started_at
        self.first_start = first_start
        self.unsettled: dict[str, list[Upstream]] = {}
        self.settled_at: dict[str, float] = {}

    def time_settled(self, service: str, now: float) -> float:
        """Return the time since which no upstream can read a call of the earlier process."""
        if self.first_start:
            return self.started_at
        if service not in self.unsettled:
            known = self.candidates.for_service(service)
            self.unsettled[service] = known.local + known.remote
        if self._update(service, now):
            self.settled_at[service] = now
        return self.settled_at.get(service, self.started_at)

    def unanswered(self, now: float) -> list[Upstream]:
        """Return the upstreams that have answered nothing yet, for probes."""
        return [upstream for service in self.unsettled for upstream in self._update(service, now)]

    def _update(self, service: str, now: float) -> list[Upstream]:
        unsettled = self.unsettled[service]
        if now - self.started_at > MAX_UNREAD_SECONDS:
            unsettled = []
        self.unsettled[service] = [
            upstream for upstream in unsettled if self._is_unsettled(upstream)
        ]
        return self.unsettled[service]

    def _is_unsettled(self, upstream: Upstream) -> bool:
        is_other = upstream.has_restarted or upstream.replaced
        return not is_other and upstream.stats.settled_until < self.started_at

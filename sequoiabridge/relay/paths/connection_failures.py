"""Decides whether a connection that failed under a call is the upstream's fault or the path's.

Only failures of upstreams count against them, here and at the peers.
"""

from __future__ import annotations

import curio

from ...balancing.call import CallAttempt
from ...balancing.paths import PathTable
from ...timers import Clock
from ..decisions import DecisionLog
from ..sharing import Sharing
from .opener import PathOpener

POLL_INTERVAL = 0.05
PROOF_SECONDS = 1.0
"""Seconds within which another upstream must be heard; if none is, the path may be at fault."""

MAX_JUDGED = 200
"""Maximum number of failures that are judged at the same time."""


class ConnectionFailures:
    """Judges connections that failed.

    Attributes:
        open: Number of failures that are being judged.
        of_paths: Number of failures that did not count against their upstreams.
    """

    def __init__(
        self,
        table: PathTable,
        opener: PathOpener,
        sharing: Sharing,
        decisions: DecisionLog,
        clock: Clock,
    ):
        self.table = table
        self.opener = opener
        self.sharing = sharing
        self.decisions = decisions
        self.clock = clock
        self.open = 0
        self.of_paths = 0

    async def judge(self, attempt: CallAttempt) -> None:
        """Record the failure of an attempt's upstream if it was the upstream that failed."""
        if self.open >= MAX_JUDGED:
            return
        self.open += 1
        try:
            why = await self._why_path(attempt)
        finally:
            self.open -= 1
        if not why:
            self.sharing.record_failure(attempt.upstream)
            return
        self.of_paths += 1
        self.decisions.event("path-failed", upstream=attempt.upstream.id, why=why)

    async def _why_path(self, attempt: CallAttempt) -> str:
        """Return why the failure may be the path's, "" if it is the upstream's."""
        if attempt.sent:
            address = attempt.upstream.address
            if not attempt.via and await self._works_directly(address, attempt.ended_at):
                return ""
            if await self.opener.is_reachable(address):
                return "a peer broke off" if attempt.via else "a peer reaches it"
        return "" if await self._is_any_heard() else "no upstream is heard"

    async def _works_directly(self, address: str, since: float) -> bool:
        """Return whether an upstream answers, or accepts a connection, by the direct path."""
        end = self.clock.now() + POLL_INTERVAL
        while not self.table.has_heard_directly(address, since):
            if self.clock.now() >= end:
                return await self.opener.is_directly_reachable(address)
            await curio.sleep(POLL_INTERVAL)
        return True

    async def _is_any_heard(self) -> bool:
        """Return whether any upstream is heard within `PROOF_SECONDS` from now on."""
        since = self.clock.now()
        while self.table.heard_at <= since:
            if self.clock.now() >= since + PROOF_SECONDS:
                return False
            await curio.sleep(POLL_INTERVAL)
        return True

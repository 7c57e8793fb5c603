"""Calls that were given up but that their upstream may still read.

A stopped upstream, or one behind a broken link, reads what was sent to it when it continues, even
if the connection was closed or reset meanwhile. Such a call counts as a repeat at that time. This
module waits for it, so that its retry token is in use until then.
"""

from __future__ import annotations

import curio

from ..balancing.predecessor_calls import MAX_UNREAD_SECONDS, PredecessorCalls
from ..timers import Clock
from .attempt import Attempt
from .decisions import DecisionLog
from .probing import Prober

POLL_INTERVAL = 0.25
"""Seconds between two checks whether an upstream has answered anything."""

PREDECESSOR_PROBE_INTERVAL = 0.5
"""Seconds between probes of upstreams that may still read calls of the earlier process."""


class UnreadCalls:
    """Waits until upstreams have read the calls that were given up, or are dead.

    Args:
        predecessor: The calls of the earlier process.

    Attributes:
        count: Number of calls that may still be read.
    """

    def __init__(
        self, prober: Prober, predecessor: PredecessorCalls, decisions: DecisionLog, clock: Clock
    ):
        self.prober = prober
        self.predecessor = predecessor
        self.decisions = decisions
        self.clock = clock
        self.count = 0

    async def wait(self, attempt: Attempt) -> None:
        """Return when the upstream of an attempt has read the call or counts as dead."""
        began = self.clock.now()
        self.count += 1
        try:
            while attempt.may_be_read_later:
                if self.clock.now() - began > MAX_UNREAD_SECONDS:
                    self.decisions.event("call-unread", upstream=attempt.upstream.id)
                    return
                await curio.sleep(POLL_INTERVAL)
                await self._probe_if_due(attempt)
        finally:
            self.count -= 1

    async def probe_predecessor_calls(self) -> None:
        """Probe the upstreams that may still read calls of the earlier process."""
        now = self.clock.now()
        due = [
            upstream
            for upstream in self.predecessor.unanswered(now)
            if upstream.stats.probe_sent_at is None and now >= upstream.stats.next_probe_at
        ]
        await self.prober.probe_all(due, 0.0)

    async def _probe_if_due(self, attempt: Attempt) -> None:
        """Probe the upstream, as often as any unresponsive one, unless other calls settled it."""
        stats, now = attempt.upstream.stats, self.clock.now()
        is_due = stats.probe_sent_at is None and now >= stats.next_probe_at
        if is_due and attempt.may_be_read_later:
            await self.prober.probe_all([attempt.upstream], POLL_INTERVAL)

"""Calls that were given up but that their upstream may still read.

A stopped upstream, or one behind a broken link, reads what was sent to it when it continues, even
if the connection was closed meanwhile. Such a call counts as a repeat at that time. This module
waits for it, so that its retry token is in use until then.
"""

from __future__ import annotations

import curio

from ..balancing.upstream import Upstream
from ..timers import Clock
from .decisions import DecisionLog
from .probing import Prober

POLL_INTERVAL = 0.25
"""Seconds between two checks whether an upstream has answered anything."""

MAX_UNREAD_SECONDS = 30.0
"""Seconds after which an upstream that answers nothing counts as dead. A longer time would keep
tokens in use for calls at upstreams that have lost power."""


class UnreadCall:
    """A call that was given up at an upstream that has answered nothing sent since.

    Args:
        upstream: The upstream that may still read the call.
        sent_at: Time at which the call was sent, in seconds on the daemon's clock.
    """

    __slots__ = ("upstream", "sent_at")

    def __init__(self, upstream: Upstream, sent_at: float):
        self.upstream = upstream
        self.sent_at = sent_at

    @property
    def is_read(self) -> bool:
        """Return whether the upstream has read the call or ended, as far as is known."""
        return self.upstream.has_restarted or self.upstream.stats.alive_at >= self.sent_at


class UnreadCalls:
    """Waits until upstreams have read the calls that were given up, or are dead.

    Attributes:
        count: Number of calls that may still be read.
    """

    def __init__(self, prober: Prober, decisions: DecisionLog, clock: Clock):
        self.prober = prober
        self.decisions = decisions
        self.clock = clock
        self.count = 0

    async def wait(self, call: UnreadCall) -> None:
        """Return when the call has been read or its upstream counts as dead."""
        began = self.clock.now()
        self.count += 1
        try:
            while not call.is_read:
                if self.clock.now() - began > MAX_UNREAD_SECONDS:
                    self.decisions.event("call-unread", upstream=call.upstream.id)
                    return
                await self._probe_if_due(call.upstream)
                await curio.sleep(POLL_INTERVAL)
        finally:
            self.count -= 1

    async def _probe_if_due(self, upstream: Upstream) -> None:
        """Probe the upstream, as often as any unresponsive one is probed."""
        stats = upstream.stats
        if stats.probe_sent_at is None and self.clock.now() >= stats.next_probe_at:
            await self.prober.probe_all([upstream], POLL_INTERVAL)

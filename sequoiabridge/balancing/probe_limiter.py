"""How many health checks this VM may send, so that all VMs together stay within the limit."""

from __future__ import annotations

USED_SHARE = 0.7
"""Part of the limit that is used: callers are spread unevenly over the VMs, and the limit counts
what all of them send."""

BURST_SECONDS = 4.0
"""Seconds' worth of unused checks that are kept for a burst of calls; the limit is on the mean of a
day."""

DEFAULT_VM_COUNT = 20
"""VMs that are assumed to share the limit while their number is not known."""


class ProbeRateLimiter:
    """A bucket that fills with this VM's share of the fleet's health checks.

    Args:
        per_upstream: Health checks a second that one upstream may get from all VMs.
    """

    __slots__ = ("rate_per_upstream", "vm_count", "tokens", "refilled_at", "denied")

    def __init__(self, rate_per_upstream: float):
        self.rate_per_upstream = rate_per_upstream
        self.vm_count = DEFAULT_VM_COUNT
        self.tokens = 0.0
        self.refilled_at: float | None = None
        self.denied = 0

    def take(self, wanted: int, upstreams: int, now: float) -> int:
        """Return how many of the `wanted` checks may be sent now.

        Args:
            upstreams: How many upstreams there are.
        """
        rate = self.rate_per_upstream * USED_SHARE * upstreams / max(1, self.vm_count)
        max_tokens = rate * BURST_SECONDS
        elapsed = BURST_SECONDS if self.refilled_at is None else now - self.refilled_at
        self.tokens = min(max_tokens, self.tokens + elapsed * rate)
        self.refilled_at = now
        granted = min(wanted, int(self.tokens))
        self.tokens -= granted
        self.denied += wanted - granted
        return granted

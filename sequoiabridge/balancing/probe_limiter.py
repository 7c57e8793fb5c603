"""Limits the rate of probes of this VM, so that all VMs together stay within the fleet's limit.

A process begins with an empty bucket: one that ends and starts again would otherwise have a full
one each time.
"""

from __future__ import annotations

USED_SHARE = 0.7
"""Share of the limit that is used. The rest covers uneven load between the VMs."""

BURST_SECONDS = 4.0
"""Capacity of the token bucket, in seconds of refill. The limit is on the mean of a day."""

DEFAULT_VM_COUNT = 20
"""Number of VMs assumed to share the limit until it is known."""


class ProbeRateLimiter:
    """A token bucket that refills at this VM's share of the fleet's probe rate.

    Args:
        rate_per_upstream: Probes per second that one upstream may receive from all VMs.
        started_at: Time at which this process started.

    Attributes:
        vm_count: Number of VMs that share the limit.
        denied: Number of probes refused so far.
    """

    __slots__ = ("rate_per_upstream", "vm_count", "tokens", "refilled_at", "denied")

    def __init__(self, rate_per_upstream: float, started_at: float):
        self.rate_per_upstream = rate_per_upstream
        self.vm_count = DEFAULT_VM_COUNT
        self.tokens = 0.0
        self.refilled_at = started_at
        self.denied = 0

    def take(self, wanted: int, upstreams: int, now: float) -> int:
        """Take tokens for up to `wanted` probes; return how many may be sent now.

        Args:
            upstreams: Number of known upstreams.
            now: Current time in seconds.
        """
        rate = self.rate_per_upstream * USED_SHARE * upstreams / max(1, self.vm_count)
        max_tokens = rate * BURST_SECONDS
        self.tokens = min(max_tokens, self.tokens + (now - self.refilled_at) * rate)
        self.refilled_at = now
        granted = min(wanted, int(self.tokens))
        self.tokens -= granted
        self.denied += wanted - granted
        return granted

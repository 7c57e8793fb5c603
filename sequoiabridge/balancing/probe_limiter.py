"""How many health checks this VM may send, so that all VMs together stay within the limit."""

from __future__ import annotations

KEPT_SHARE = 0.7
"""Part of the limit that is used: callers are spread unevenly over the VMs, and the limit counts
what all of them send."""

SAVED = 4.0
"""Seconds' worth of unused checks that are kept for a burst of calls; the limit is on the mean of a
day."""

USUAL_FLEET = 20
"""VMs that are assumed to share the limit while their number is not known."""


class ProbeAllowance:
    """A bucket that fills with this VM's share of the fleet's health checks.

    Args:
        per_upstream: Health checks a second that one upstream may get from all VMs.
    """

    __slots__ = ("per_upstream", "vms", "left", "at", "denied")

    def __init__(self, per_upstream: float):
        self.per_upstream = per_upstream
        self.vms = USUAL_FLEET
        self.left = 0.0
        self.at: float | None = None
        self.denied = 0

    def take(self, wanted: int, upstreams: int, now: float) -> int:
        """Return how many of the `wanted` checks may be sent now.

        Args:
            upstreams: How many upstreams there are.
        """
        rate = self.per_upstream * KEPT_SHARE * upstreams / max(1, self.vms)
        most = rate * SAVED
        passed = SAVED if self.at is None else now - self.at
        self.left = min(most, self.left + passed * rate)
        self.at = now
        given = min(wanted, int(self.left))
        self.left -= given
        self.denied += wanted - given
        return given

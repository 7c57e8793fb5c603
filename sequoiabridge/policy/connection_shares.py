"""Share of an upstream's connections that each daemon may open.

An upstream accepts a limited number of connections from all VMs together. Each daemon gets an equal
share. Connections are reserved for VMs that join before all others know them, and for a replacement
that starts while its predecessor still holds its share.
"""

from __future__ import annotations

from math import ceil

JOINING_VM_SHARE = 0.25
"""Joining VMs for which connections are reserved, as a share of the live VMs."""

MIN_JOINING_VMS = 1
"""Minimum number of joining VMs for which connections are reserved."""

DEPARTED_VM_SECONDS = 30.0
"""Seconds for which a departed VM keeps its share; it may be paused or unreachable."""


def connection_share(connections: int, live_vms: int) -> int:
    """Return how many connections one of `live_vms` daemons may open to an upstream.

    At least 1, since a daemon without a connection can't serve; the upstream itself refuses
    connections beyond its limit.
    """
    live = max(1, live_vms)
    joining = max(MIN_JOINING_VMS, ceil(JOINING_VM_SHARE * live))
    return max(1, connections // (live + joining))


class LiveVmCount:
    """Number of live VMs to divide connections by: rises at once, falls after a delay.

    During a partition each side sees many VMs as failed. Raising the shares at once would open more
    connections than the upstream accepts.
    """

    __slots__ = ("peaks",)

    def __init__(self):
        self.peaks: list[tuple[float, int]] = []

    def update(self, live_vms: int, now: float) -> int:
        """Record the number of live VMs; return the number to divide connections by."""
        self.peaks = [p for p in self.peaks if p[0] > now - DEPARTED_VM_SECONDS and p[1] > live_vms]
        self.peaks.append((now, live_vms))
        return self.peaks[0][1]

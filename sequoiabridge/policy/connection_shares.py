"""How many connections one daemon may hold to an instance that all VMs share.

An instance takes some 220 to 260 connections from all VMs together. Each daemon takes an equal
part, with room left for VMs that join before all others know, and for a replacement whose
predecessor still holds its part.
"""

from __future__ import annotations

from math import ceil

JOINING_VM_SHARE = 0.25
"""Share of the live VMs that may join unnoticed without filling the instance."""

MIN_JOINING_VMS = 1
"""VMs that may join unnoticed at least: one replacement."""

DEPARTED_VM_SECONDS = 30.0
"""Seconds for which a VM that is gone keeps its part: it may be paused, or only unheard."""


def connection_share(connections: int, live_vms: int) -> int:
    """Return how many connections one of `live_vms` daemons may open to an instance.

    At least 1: a daemon without any connection can't serve, and the instance refuses the one that
    is too many by itself.
    """
    live = max(1, live_vms)
    joining = max(MIN_JOINING_VMS, ceil(JOINING_VM_SHARE * live))
    return max(1, connections // (live + joining))


class LiveVmCount:
    """Counts VMs for `connection_share`: more at once, fewer only after a while.

    A partition looks like the loss of many VMs to both sides of it; growing the parts at once
    would give the instance more connections than it takes.
    """

    __slots__ = ("peaks",)

    def __init__(self):
        self.peaks: list[tuple[float, int]] = []

    def update(self, live_vms: int, now: float) -> int:
        """Take in how many VMs are live now; return the count to share by."""
        self.peaks = [p for p in self.peaks if p[0] > now - DEPARTED_VM_SECONDS and p[1] > live_vms]
        self.peaks.append((now, live_vms))
        return self.peaks[0][1]

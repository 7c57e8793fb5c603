"""Token bucket for this daemon's share of a fleet-wide rate. The caller passes the current time."""

from enum import IntEnum

BURST_SECONDS = 0.5
"""Capacity of the bucket, in seconds of the current rate."""

MIN_BURST_CALLS = 2.0
"""Minimum capacity of the bucket, in calls."""

REJECTION_FACTOR = 0.5
"""Factor applied to the share each time the platform rejects a call."""

RECOVERY_PER_SECOND = 0.1
"""Fraction of the full share that is restored per second after a reduction."""

MIN_SCALE = 0.1
"""Minimum fraction of the share that reductions leave."""


class Priority(IntEnum):
    """Priority of a call when tokens are scarce. Lower values go first."""

    CLAIM = 0
    NORMAL = 1
    BACKGROUND = 2


RESERVED_BURST_SHARE = {Priority.CLAIM: 0.0, Priority.NORMAL: 0.25, Priority.BACKGROUND: 0.5}
"""Fraction of the bucket that calls of a priority leave to calls of higher priority."""


class RateShare:
    """Token bucket filled at `fleet_rate / live VMs` per second. A rate of 0 means no limit.

    VMs that disagree on the number of live VMs may exceed the fleet's rate together, so that the
    platform rejects calls. `record_rejection` then reduces the share for a while.
    """

    __slots__ = ("fleet_rate", "tokens", "updated_at", "scale")

    def __init__(self, fleet_rate: float, now: float):
        self.fleet_rate = fleet_rate
        self.tokens = MIN_BURST_CALLS
        self.updated_at = now
        self.scale = 1.0

    def take(self, now: float, live_vms: int, priority: Priority, cost: int = 1) -> float:
        """Take tokens for a call and return 0, or return the seconds to wait before trying again.

        One token must be available. Any cost above that makes the number of tokens negative.
        """
        if self.fleet_rate <= 0:
            return 0.0
        rate = self.fleet_rate / max(1, live_vms) * self.scale
        burst = max(MIN_BURST_CALLS, rate * BURST_SECONDS)
        self._refill(now, rate, burst)
        missing = 1.0 + RESERVED_BURST_SHARE[priority] * (burst - 1.0) - self.tokens
        if missing > 1e-9:
            return missing / rate
        self.tokens -= cost
        return 0.0

    def record_rejection(self) -> None:
        """Reduce the share because the platform rejected a call."""
        self.scale = max(MIN_SCALE, self.scale * REJECTION_FACTOR)

    def _refill(self, now: float, rate: float, burst: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.tokens = min(burst, self.tokens + elapsed * rate)
        self.scale = min(1.0, self.scale + elapsed * RECOVERY_PER_SECOND)

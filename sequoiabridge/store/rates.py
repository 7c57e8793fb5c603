"""This daemon's share of a rate that the whole fleet may use: pure, time is an argument."""

from enum import IntEnum

BURST_SECONDS = 0.5
"""Seconds of the share that may be saved up."""

MIN_BURST_CALLS = 2.0
"""Calls that may be saved up at least, however small the share."""

REJECTION_FACTOR = 0.5
"""The share is multiplied by this when the platform says that the fleet is over its rate."""

RECOVERY_PER_SECOND = 0.1
"""Part of the full share that is won back each second after a cut."""

MIN_SCALE = 0.1
"""Least part of the share that cuts leave."""


class Priority(IntEnum):
    """Who goes first when the share is short; lower first."""

    CLAIM = 0
    NORMAL = 1
    BACKGROUND = 2


RESERVED_BURST_SHARE = {Priority.CLAIM: 0.0, Priority.NORMAL: 0.25, Priority.BACKGROUND: 0.5}
"""Part of the burst that a call of this priority must leave to more urgent ones."""


class RateShare:
    """A token bucket filled with `fleet_rate / live VMs` a second; 0 means no limit.

    When VMs disagree on how many are live, they spend more than the rate together and the
    platform refuses some calls; `pressed` then cuts the share for a while.
    """

    __slots__ = ("fleet_rate", "tokens", "updated_at", "scale")

    def __init__(self, fleet_rate: float, now: float):
        self.fleet_rate = fleet_rate
        self.tokens = MIN_BURST_CALLS
        self.updated_at = now
        self.scale = 1.0

    def take(self, now: float, live_vms: int, priority: Priority, cost: int = 1) -> float:
        """Pay for a call and return 0, or return the seconds to wait before asking again.

        One whole token must be there; a cost over that is paid later, as a debt.
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
        """Take note that the platform refused a call as over the rate."""
        self.scale = max(MIN_SCALE, self.scale * REJECTION_FACTOR)

    def _refill(self, now: float, rate: float, burst: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.tokens = min(burst, self.tokens + elapsed * rate)
        self.scale = min(1.0, self.scale + elapsed * RECOVERY_PER_SECOND)

"""Permits to send a call to an upstream with a limit: what a coordinator grants.

No I/O; time is an argument.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from .upstream import Upstream

PERMIT_SECONDS = 0.5
"""Seconds after its request during which a permit may be used."""

MIN_RATE = 0.2
"""Lowest rate in permits per second, also for a limit of 0. Without any call, no VM would learn
that the limit has ended."""

MIN_BURST, MAX_SMALL_BURST = 1.0, 2.0
BURST_SECONDS = 0.25
"""Capacity of a bucket: 1 permit and one second's rate, at most 2, and the permits of this time."""

MAX_WAIT = 2.0
"""Maximum number of seconds for which a VM is told not to ask again."""

NO_SHARE_WAIT = 0.3
"""Seconds after which to ask a coordinator again to which no VM has leased its share yet."""

WAITING_MARGIN = 0.2
"""Seconds beyond its wait for which a refused request of a more urgent call counts as waiting."""

URGENT_RESERVE = 1.0
"""Permits that are kept for more urgent calls while some wait."""

BUCKET_IDLE_SECONDS = 60.0
"""Seconds after which an unused bucket is discarded."""


class PermitDecision:
    """The answer to a request for a permit.

    Attributes:
        granted: Whether one call may be sent.
        wait: Seconds after which to ask again, if not.
    """

    __slots__ = ("granted", "wait")

    def __init__(self, granted: bool, wait: float):
        self.granted = granted
        self.wait = wait


class PermitSource(ABC):
    """Tells whether permits can be expected."""

    @abstractmethod
    def may_request(self, upstream: Upstream, priority: int) -> bool:
        """Return whether a request may be granted now.

        Args:
            priority: Priority of the call; 0 is the most urgent.
        """

    @abstractmethod
    def wait(self, upstream: Upstream, priority: int) -> float:
        """Return the seconds until a request may be granted, infinite if none can be."""

    @abstractmethod
    def rate(self, service: str) -> float:
        """Return the permits per second that this VM can expect for the upstreams of a service."""


class NoPermits(PermitSource):
    """Grants no permits."""

    def may_request(self, upstream: Upstream, priority: int) -> bool:
        return False

    def wait(self, upstream: Upstream, priority: int) -> float:
        return float("inf")

    def rate(self, service: str) -> float:
        return 0.0


class PermitBucket:
    """The permits of one upstream.

    Attributes:
        tokens: Permits that can be granted at `refilled_at`.
        next_turn: Time at which the next refused request will find a permit.
        waiting: Time until which refused requests count as waiting, by priority.
    """

    __slots__ = ("tokens", "refilled_at", "next_turn", "waiting")

    def __init__(self, now: float):
        self.tokens = 0.0
        self.refilled_at = now
        self.next_turn = now
        self.waiting: dict[int, float] = {}

    def request(self, rate: float, burst: float, priority: int, now: float) -> PermitDecision:
        """Decide on a request.

        Args:
            rate: Permits per second.
            burst: Maximum number of permits that are kept.
        """
        self.tokens = min(burst, self.tokens + (now - self.refilled_at) * rate)
        self.refilled_at = now
        needed = 1.0 + (URGENT_RESERVE if self._is_more_urgent_waiting(priority, now) else 0.0)
        if self.tokens >= needed:
            self.tokens -= 1.0
            self.waiting.pop(priority, None)
            return PermitDecision(True, 0.0)
        wait = self._wait(rate, needed, now)
        self.waiting[priority] = now + wait + WAITING_MARGIN
        return PermitDecision(False, wait)

    def _is_more_urgent_waiting(self, priority: int, now: float) -> bool:
        return any(until > now for other, until in self.waiting.items() if other < priority)

    def _wait(self, rate: float, needed: float, now: float) -> float:
        """Return the seconds until a permit is left over, after those for earlier requests."""
        if rate <= 0.0:
            return NO_SHARE_WAIT
        first = now + (needed - self.tokens) / rate
        turn = min(max(first, self.next_turn), now + MAX_WAIT)
        self.next_turn = turn + 1.0 / rate
        return turn - now


class PermitIssuer:
    """Grants the permits of all upstreams with a limit, as far as this VM is their coordinator.

    A new one grants nothing at first: another one may have granted permits until just now.
    """

    def __init__(self) -> None:
        self.buckets: dict[str, PermitBucket] = {}

    def request(
        self, upstream: str, limit: float, share: float, priority: int, now: float
    ) -> PermitDecision:
        """Decide on a request for one permit.

        Args:
            upstream: Name of the upstream's lifetime.
            limit: Requests per second that the upstream takes from all VMs together.
            share: Share of the limit that this VM may spend.
            priority: Priority of the call; 0 is the most urgent.
        """
        bucket = self.buckets.get(upstream)
        if bucket is None:
            bucket = self.buckets[upstream] = PermitBucket(now)
        rate = max(MIN_RATE, limit)
        return bucket.request(rate * share, burst_of(rate), priority, now)

    def discard_idle(self, now: float) -> None:
        """Discard the buckets that have not been used for long."""
        self.buckets = {
            upstream: bucket
            for upstream, bucket in self.buckets.items()
            if now - bucket.refilled_at <= BUCKET_IDLE_SECONDS
        }


def burst_of(rate: float) -> float:
    """Return the maximum number of permits that are kept at a rate."""
    return min(MAX_SMALL_BURST, MIN_BURST + rate) + BURST_SECONDS * rate

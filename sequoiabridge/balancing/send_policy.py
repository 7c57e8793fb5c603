"""Decides whether a call may be sent now, and whether an upstream may get it.

Each choice of an upstream asks here, and each attempt asks again right before it sends.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..exceptions import Refusal, SendWithheld
from ..timers import Clock
from .call import Call
from .exclusion import Exclusion
from .permits import PERMIT_SECONDS, NoPermits, PermitSource
from .upstream import Upstream


class RequestBlocks(ABC):
    """Knows the requests that are sent to no upstream."""

    @abstractmethod
    def refusal(self, call: Call) -> Refusal | None:
        """Return the refusal of a call whose request is blocked, None if it is not."""

    @abstractmethod
    async def confirm(self, call: Call, upstream: Upstream) -> None:
        """Ask, right before a call with a blocked request is sent, whether it still may be."""


class NoBlocks(RequestBlocks):
    """Blocks no request."""

    def refusal(self, call: Call) -> Refusal | None:
        """Return None."""
        return None

    async def confirm(self, call: Call, upstream: Upstream) -> None:
        """Do nothing."""


class Reach(ABC):
    """Knows the services to whose upstreams no way leads."""

    @abstractmethod
    def refusal(self, call: Call) -> Refusal | None:
        """Return the refusal of a call whose upstreams cannot be reached, None if one can."""


class FullReach(Reach):
    """Reaches all upstreams."""

    def refusal(self, call: Call) -> Refusal | None:
        """Return None."""
        return None


class FreeConnections(ABC):
    """Knows to which upstreams this VM has a free connection."""

    @abstractmethod
    def has_free(self, upstream: Upstream) -> bool:
        """Return whether a call to an upstream would get a connection now."""


class UnlimitedConnections(FreeConnections):
    """Has a free connection to every upstream."""

    def has_free(self, upstream: Upstream) -> bool:
        """Return True."""
        return True


class SendPolicy:
    """Knows every reason for which a call is not sent, or an upstream gets no call.

    Args:
        permits: Tells for which upstreams with limits permits can be expected.

    Attributes:
        blocks: Tells which requests are blocked.
        reach: Tells which upstreams can be reached.
        connections: Tells to which upstreams a connection is free.
        counts: Number of times that an upstream was passed over or a send withheld, by reason.
    """

    def __init__(self, clock: Clock, permits: PermitSource | None = None):
        self.clock = clock
        self.permits = permits or NoPermits()
        self.blocks: RequestBlocks = NoBlocks()
        self.reach: Reach = FullReach()
        self.connections: FreeConnections = UnlimitedConnections()
        self.counts: dict[Exclusion, int] = {}

    def refusal(self, call: Call) -> Refusal | None:
        """Return the refusal of a call that no upstream may get, None if one may."""
        return self.blocks.refusal(call) or self.reach.refusal(call)

    async def check_request(self, call: Call, upstream: Upstream) -> None:
        """Check that a call may still be sent to the upstream that was chosen for it.

        Raises:
            SendWithheld: Its request has been blocked since the upstream was chosen.
        """
        await self.blocks.confirm(call, upstream)
        refusal = self.refusal(call)
        if refusal is not None:
            raise SendWithheld(f"withheld: {refusal.reason.value}; the request is blocked")

    def exclusion(self, upstream: Upstream) -> Exclusion | None:
        """Return why an upstream gets no call of any kind, None if there is no reason.

        Limits are not considered, since they are not the same for all calls.
        """
        if upstream.exclusion is not None:
            return upstream.exclusion
        now = self.clock.now()
        if upstream.forget_at is not None and upstream.forget_at <= now:
            return Exclusion.LAPSED
        return Exclusion.RESTING if upstream.stats.rest.is_active(now) else None

    def why_not_now(self, upstream: Upstream) -> Exclusion | None:
        """Return why an upstream cannot be chosen now for a call of any kind, None if it can.

        Limits are not considered.
        """
        reason = self.exclusion(upstream)
        if reason is None and not self.connections.has_free(upstream):
            return Exclusion.NO_CONNECTION
        return reason

    def why_not(self, upstream: Upstream, priority: int) -> Exclusion | None:
        """Return why an upstream cannot be chosen for a call, None if it can.

        Args:
            priority: Priority of the call; 0 is the most urgent.
        """
        reason = self.why_not_now(upstream)
        if reason not in (None, Exclusion.NO_CONNECTION):
            return reason
        is_limited = upstream.stats.request_limit.rate is not None
        if is_limited and not self.permits.may_request(upstream, priority):
            return Exclusion.LIMIT
        return reason

    def wait(self, upstream: Upstream, priority: int) -> float:
        """Return the seconds until an upstream may be chosen, infinite if that is not known."""
        reason = self.exclusion(upstream)
        if reason is Exclusion.RESTING:
            return upstream.stats.rest.seconds_left(self.clock.now())
        if reason is not None:
            return float("inf")
        if upstream.stats.request_limit.rate is None:
            return 0.0
        return self.permits.wait(upstream, priority)

    def may_be_chosen_later(self, upstream: Upstream) -> bool:
        """Return whether only a rest or a limit can keep calls away from an upstream."""
        if self.exclusion(upstream) is Exclusion.RESTING:
            return True
        return self.exclusion(upstream) is None and upstream.stats.request_limit.rate is not None

    def may_probe(self, upstream: Upstream) -> bool:
        """Return whether an upstream may get a health check; one that rests wants no requests."""
        return not upstream.stats.rest.is_active(self.clock.now())

    def check_send(self, upstream: Upstream, permit_at: float | None) -> None:
        """Check that a call may still be sent; opening the connection may have taken long.

        Args:
            permit_at: Time at which a permit for it was requested, None without one.

        Raises:
            SendWithheld: The upstream may not get the call any more.
        """
        reason = self.exclusion(upstream)
        if reason is None and not self._is_permitted(upstream, permit_at):
            reason = Exclusion.PERMIT_MISSING
        if reason is not None:
            self.count(reason, upstream)
            message = f"withheld: {reason.value}; another upstream is tried"
            raise SendWithheld(message)

    def count(self, reason: Exclusion, upstream: Upstream) -> None:
        """Count that an upstream was passed over, or a send to it withheld."""
        self.counts[reason] = self.counts.get(reason, 0) + 1
        if reason is Exclusion.RESTING:
            upstream.stats.rest.withheld += 1
        elif reason is Exclusion.LEAVING:
            upstream.departure.withheld += 1

    def _is_permitted(self, upstream: Upstream, permit_at: float | None) -> bool:
        if upstream.stats.request_limit.rate is None:
            return True
        return permit_at is not None and self.clock.now() - permit_at <= PERMIT_SECONDS

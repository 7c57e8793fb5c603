"""The connection pool for upstreams, limited to this daemon's share of each."""

from collections import deque
from functools import partial

from ..component import Component
from ..exceptions import NoFreeConnection, UpstreamFailed
from ..timers import Clock
from .base import Connector, LinkOpener, UpstreamConnection
from .exchange import HttpConnection
from .link import Link, open_link

DEFAULT_SHARE = 16
"""Maximum number of connections to an upstream for which `set_share` was not called."""
NO_MIN_OPENED_AT = float("-inf")
"""Allows the reuse of connections of any age."""


class ConnectorLimits:
    """Limits on connections to upstreams.

    Args:
        max_head: Maximum size in bytes of an answer's head.
        idle_timeout: Seconds after which an idle connection is closed; should be shorter than the
            upstreams' own timeout.
        allow_until_close: Whether to accept answers that end when the connection is closed, since
            they have neither a length nor chunked encoding.
    """

    __slots__ = ("max_head", "idle_timeout", "allow_until_close")

    def __init__(
        self, max_head: int = 32 * 1024, idle_timeout: float = 30.0, allow_until_close: bool = False
    ):
        self.max_head = max_head
        self.idle_timeout = idle_timeout
        self.allow_until_close = allow_until_close


class AddressPool:
    """The connections to one upstream.

    Attributes:
        idle: Idle connections, the most recently used last.
        count: Number of open connections, idle and in use.
        share: Maximum number of open connections.
        min_opened_at: Connections opened before this time are not reused.
    """

    __slots__ = ("idle", "count", "share", "min_opened_at")

    def __init__(self, share: int):
        self.idle: deque[Link] = deque()
        self.count = 0
        self.share = share
        self.min_opened_at = NO_MIN_OPENED_AT


class DirectOpener(LinkOpener):
    """Opens links without any detour."""

    def __init__(self, clock: Clock):
        self.clock = clock

    async def open(self, address: str, timeout: float) -> Link:
        return await open_link(address, self.clock, timeout)

    def may_reuse(self, link: Link) -> bool:
        return True


class HttpConnector(Connector, Component):
    """Connections to upstreams over HTTP/1.1.

    Args:
        clock: Source of time.
        limits: Limits on each connection.
        opener: Opens the links; directly if None.
        share: Maximum number of connections to an upstream for which `set_share` was not called.
    """

    name = "connector"

    def __init__(
        self,
        clock: Clock,
        limits: ConnectorLimits,
        share: int = DEFAULT_SHARE,
        opener: LinkOpener | None = None,
    ):
        self.opener = opener or DirectOpener(clock)
        self.clock = clock
        self.limits = limits
        self.share = share
        self.pools: dict[str, AddressPool] = {}
        self.shares: dict[str, int] = {}
        self.opened_count = 0
        self.reused_count = 0

    def set_share(self, address: str, count: int) -> None:
        """Limit the connections to `address` to `count`; this call closes none."""
        self.shares[address] = count
        if address in self.pools:
            self.pools[address].share = count

    def set_shares(self, shares: dict[str, int]) -> None:
        """Replace all limits of `set_share`; `shares` holds the new ones by address."""
        self.shares = shares
        for address, pool in self.pools.items():
            pool.share = shares.get(address, self.share)

    async def acquire(self, address: str, *, fresh: bool, timeout: float) -> UpstreamConnection:
        pool = self.pools.get(address) or self._add_pool(address)
        while pool.idle and not fresh:
            link = pool.idle.pop()
            if self._is_reusable(pool, link):
                self.reused_count += 1
                return HttpConnection(self, link)
            await self._close(pool, link)
        if pool.count >= pool.share and pool.idle:
            await self._close(pool, pool.idle.popleft())
        if pool.count >= pool.share:
            message = f"{address}: All {pool.share} connections are in use. Try another upstream."
            raise NoFreeConnection(message, sent=False)
        return HttpConnection(self, await self._open(pool, address, timeout))

    def has_free(self, address: str) -> bool:
        pool = self.pools.get(address)
        return pool is None or bool(pool.idle) or pool.count < pool.share

    async def release(self, connection: UpstreamConnection) -> None:
        await connection.release()

    async def close_older(self, address: str, opened_before: float) -> None:
        pool = self.pools.get(address)
        if pool is None:
            return
        pool.min_opened_at = max(pool.min_opened_at, opened_before)
        await self._close_where(pool, lambda link: link.opened_at < opened_before)

    def retire(self, address: str) -> None:
        """Allow no further request on connections to `address` that are open now."""
        pool = self.pools.get(address)
        if pool is not None:
            pool.min_opened_at = self.clock.now()

    async def is_reachable(self, address: str, timeout: float) -> bool:
        try:
            link = await self.opener.open(address, timeout)
        except UpstreamFailed:
            return False
        await link.close()
        return True

    async def release_link(self, link: Link) -> None:
        """Keep the link for reuse if its last answer was complete, else close it."""
        pool = self.pools[link.address]
        if (
            link.prepare_for_reuse()
            and link.opened_at >= pool.min_opened_at
            and pool.count <= pool.share
            and self.opener.may_reuse(link)
        ):
            pool.idle.append(link)
            return
        await self._close(pool, link)

    async def close_expired(self) -> None:
        """Close connections that have been idle for too long; called periodically."""
        now, limit = self.clock.now(), self.limits.idle_timeout
        for address, pool in list(self.pools.items()):
            await self._close_where(pool, partial(is_expired, now, limit, pool.min_opened_at))
            await self._close_where(pool, lambda link: not self.opener.may_reuse(link))
            if not pool.count:
                del self.pools[address]

    async def close(self) -> None:
        """Close all idle connections."""
        for pool in list(self.pools.values()):
            await self._close_where(pool, lambda link: True)

    def dump(self) -> dict:
        """Describe the connections for the state dump."""
        pools = {
            address: {"open": pool.count, "idle": len(pool.idle), "share": pool.share}
            for address, pool in self.pools.items()
        }
        return {"opened": self.opened_count, "reused": self.reused_count, "upstreams": pools}

    def _is_reusable(self, pool: AddressPool, link: Link) -> bool:
        if link.opened_at < pool.min_opened_at:
            return False
        idle_for = self.clock.now() - link.last_received_at
        if idle_for > min(self.limits.idle_timeout, link.keep_alive_timeout):
            return False
        return self.opener.may_reuse(link) and link.is_unused()

    def _add_pool(self, address: str) -> AddressPool:
        pool = AddressPool(self.shares.get(address, self.share))
        self.pools[address] = pool
        return pool

    async def _open(self, pool: AddressPool, address: str, timeout: float) -> Link:
        pool.count += 1
        link = None
        try:
            link = await self.opener.open(address, timeout)
        finally:
            if link is None:
                pool.count -= 1
        self.opened_count += 1
        return link

    async def _close_where(self, pool: AddressPool, should_close) -> None:
        closing = [link for link in pool.idle if should_close(link)]
        for link in closing:
            pool.idle.remove(link)
            await self._close(pool, link)

    async def _close(self, pool: AddressPool, link: Link) -> None:
        pool.count -= 1
        await link.close()


def is_expired(now: float, idle_timeout: float, min_opened_at: float, link: Link) -> bool:
    """Return whether an idle connection is too old to be reused."""
    idle_for = now - link.last_received_at
    return link.opened_at < min_opened_at or idle_for > min(idle_timeout, link.keep_alive_timeout)

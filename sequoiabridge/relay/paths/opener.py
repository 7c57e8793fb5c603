"""Opens connections to upstreams by the ways that `balancing.paths` chooses."""

from __future__ import annotations

import curio
import h11

from ...balancing.path_peers import PathPeer
from ...balancing.paths import CONNECT_TIMEOUT, DIRECT_TIMEOUT, FailedAttempt, PathTable, Way
from ...exceptions import PeerFailed, UpstreamFailed
from ...timers import Clock
from ...upstreams.base import LinkOpener
from ...upstreams.link import Link, open_link
from .fleet_key import FleetKey
from .protocol import MAX_HEAD_BYTES, PeerStatus, encode_request

MIN_TRY_SECONDS = 0.005
"""Minimum seconds that must be left for another way to be tried."""

TRIED = frozenset({PeerStatus.REFUSED, PeerStatus.TIMED_OUT})
"""Answers of a peer that has tried to reach the upstream."""


class PathOpener(LinkOpener):
    """Opens links to upstreams directly or through peers.

    Args:
        table: Chooses the ways, and is told how they end.
        key: Proves to peers that this daemon belongs to the fleet.

    Attributes:
        opened_through_peers: Number of links that peers have opened.
    """

    def __init__(self, table: PathTable, key: FleetKey, clock: Clock):
        self.table = table
        self.key = key
        self.clock = clock
        self.opened_through_peers = 0

    async def open(self, address: str, timeout: float) -> Link:
        attempt = FailedAttempt(self.clock.now())
        end, failure = attempt.started + min(timeout, CONNECT_TIMEOUT), None
        for way in self.table.ways(address, attempt.started):
            left = end - self.clock.now()
            if failure is not None and left < MIN_TRY_SECONDS:
                break
            try:
                return await self._open_by(way, address, min(left, way.timeout))
            except PeerFailed as error:
                attempt.peers_asked = True
                attempt.peers_tried = attempt.peers_tried or error.status in TRIED
                failure = failure or error
            except UpstreamFailed as error:
                attempt.refused, failure = error.refused, error
        self.table.record_unreachable(address, attempt, self.clock.now())
        refused = failure.refused and self.table.is_refused_for_all(address)
        raise UpstreamFailed(
            str(failure), sent=False, timed_out=failure.timed_out, refused=refused
        ) from failure

    def may_reuse(self, link: Link) -> bool:
        if link.via:
            return self.table.may_reuse_through(link.address, link.via)
        return self.table.may_reuse_direct(link.address, link.last_received_at)

    async def open_directly(self, address: str, timeout: float = DIRECT_TIMEOUT) -> Link:
        """Open a link without any peer; raises `UpstreamFailed`."""
        started = self.clock.now()
        try:
            link = await open_link(address, self.clock, timeout)
        except UpstreamFailed as error:
            self.table.record_direct_failure(address, started, str(error), self.clock.now())
            raise
        self.table.record_direct(address, self.clock.now())
        return link

    async def is_directly_reachable(self, address: str) -> bool:
        """Return whether an upstream accepts a direct connection, which is closed at once."""
        try:
            link = await self.open_directly(address)
        except UpstreamFailed:
            return False
        await link.close()
        return True

    async def check(self, address: str) -> None:
        """Check whether the direct path works; ask peers if nobody knows that it is lost."""
        if await self.is_directly_reachable(address):
            return
        if self.table.must_ask(address, self.clock.now()):
            await self.is_reachable(address)

    async def is_reachable(self, address: str) -> bool:
        """Return whether an upstream can be reached by any way."""
        try:
            link = await self.open(address, CONNECT_TIMEOUT)
        except UpstreamFailed:
            return False
        await link.close()
        return True

    async def _open_by(self, way: Way, address: str, timeout: float) -> Link:
        if way.peer is None:
            return await self.open_directly(address, timeout)
        try:
            link = await self._open_through(way.peer, address, timeout)
        except PeerFailed as error:
            await self._record_peer_failure(way.peer, address, error)
            raise
        self.opened_through_peers += 1
        self.table.record_through_peer(address, way.peer, self.clock.now())
        return link

    async def _open_through(self, peer: PathPeer, address: str, timeout: float) -> Link:
        """Return a link that a peer has opened; raises `PeerFailed`."""
        if not self.key.value:
            raise PeerFailed(
                f"{peer.vm}: The fleet's key is not known yet. Check the platform's store."
            )
        link = None
        try:
            async with curio.timeout_after(timeout):
                link = await open_link(peer.address, self.clock, timeout)
                token = self.key.token(peer.address, address)
                head = await exchange_heads(link, encode_request(address, token))
        except curio.TaskTimeout:
            await close(link)
            raise PeerFailed(f"{peer.vm}: No answer within {timeout:.3f} s.") from None
        except UpstreamFailed as error:
            await close(link)
            raise PeerFailed(f"{peer.vm}: {error}") from error
        except curio.CancelledError:
            await close(link)
            raise
        if head.status_code == PeerStatus.OPENED:
            link.address, link.via = address, peer.vm
            link.sent = False
            return link
        await close(link)
        refused = head.status_code == PeerStatus.REFUSED
        raise PeerFailed(f"{peer.vm}: {refusal_text(head)}", head.status_code, refused=refused)

    async def _record_peer_failure(self, peer: PathPeer, address: str, error: PeerFailed) -> None:
        now = self.clock.now()
        if error.refused:
            self.table.record_refused_for_peer(address)
        elif error.status != PeerStatus.TIMED_OUT:
            self.table.record_peer_failure(peer, now)
        if error.status == PeerStatus.FORBIDDEN:
            await curio.spawn(self.key.reload, daemon=True)


async def exchange_heads(link: Link, request: bytes) -> h11.Response:
    """Send the request for a connection to a peer; return the head of its answer."""
    if link.try_send(request) != len(request):
        raise link.make_failure("The request for a connection was not sent as a whole.")
    while (head := link.read_response_head(MAX_HEAD_BYTES)) is None:
        await link.receive()
    return head


async def close(link: Link | None) -> None:
    """Close a link if there is one."""
    if link is not None:
        await link.close()


def refusal_text(head: h11.Response) -> str:
    """Return the reason phrase of a peer's answer."""
    reason = bytes(head.reason).decode("latin-1")
    return f"It opened no connection: {head.status_code} {reason}. Another peer is asked."

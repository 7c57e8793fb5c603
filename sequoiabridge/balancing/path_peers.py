"""Chooses the peers through which upstreams are reached that this VM cannot reach itself."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

MAX_PEERS_ASKED = 6
"""Maximum number of peers that are asked for one connection. Peers that have no path say so within
milliseconds."""

UNHELPFUL_SECONDS = 3.0
"""Seconds for which a peer that has no path, or does not answer, is asked last."""

HELPFUL_SECONDS = 30.0
"""Seconds for which a peer that has opened a connection is asked before unknown ones."""

EXPLORED_SHARE = 0.25
"""Share of connections for which an unknown peer is asked first, so that all that help share the
work."""

UNKNOWN_RANK = (False, True)


class PathPeer:
    """A peer that may open connections to upstreams for this VM.

    Attributes:
        vm: Name of its VM.
        address: "IP:port" at which it serves its peers.
        helped_at: Time at which it last opened a connection, in seconds on the daemon's clock.
        unhelpful_until: Time until which it is asked last.
        stopping: Whether it has said that it stops.
    """

    __slots__ = ("vm", "address", "helped_at", "unhelpful_until", "stopping")

    def __init__(self, vm: str, address: str):
        self.vm = vm
        self.address = address
        self.helped_at = float("-inf")
        self.unhelpful_until = float("-inf")
        self.stopping = False

    def is_helpful(self, now: float) -> bool:
        """Return whether it has opened a connection lately, and helped at its last request."""
        return now >= self.unhelpful_until and now - self.helped_at <= HELPFUL_SECONDS


class PathPeers:
    """The peers that may be asked, by VM, and what is known of each."""

    def __init__(self, random: Random):
        self.random = random
        self.by_vm: dict[str, PathPeer] = {}

    def update(self, peers: Iterable[PathPeer]) -> None:
        """Replace the peers; what is known of those that stay is kept."""
        known, self.by_vm = self.by_vm, {}
        for peer in peers:
            earlier = known.get(peer.vm)
            is_same = earlier is not None and earlier.address == peer.address
            self.by_vm[peer.vm] = earlier if is_same else peer

    def to_ask(self, now: float) -> list[PathPeer]:
        """Return the peers to ask for a connection, one after the other."""
        usable = [peer for peer in self.by_vm.values() if not peer.stopping]
        self.random.shuffle(usable)
        usable.sort(key=lambda peer: _rank(peer, now))
        if self.random.random() < EXPLORED_SHARE:
            unknown = next((peer for peer in usable if _rank(peer, now) == UNKNOWN_RANK), None)
            if unknown is not None:
                usable.remove(unknown)
                usable.insert(0, unknown)
        return usable[:MAX_PEERS_ASKED]

    def record_stop(self, vm: str, stopping: bool) -> None:
        """Record that a peer has begun to stop, or has started again."""
        peer = self.by_vm.get(vm)
        if peer is not None:
            peer.stopping = stopping


def _rank(peer: PathPeer, now: float) -> tuple[bool, bool]:
    """Return the sort key of a peer; the lowest is asked first."""
    return now < peer.unhelpful_until, now - peer.helped_at > HELPFUL_SECONDS

"""Which upstreams of a service a VM looks at: all of a small one, a stable part of a large one."""

from __future__ import annotations

from abc import ABC, abstractmethod
from hashlib import blake2b

from .upstream import Upstream

MOST_NEAR = 8
"""Upstreams of its own data centre that a VM keeps connections to, for each service. Five are asked
before a call; some more leave a choice when several are busy or away."""

MOST_FAR = 5
"""Upstreams of other data centres likewise; they are asked only when all near ones are bad."""


class Neighbours:
    """The upstreams that a VM looks at for one service."""

    __slots__ = ("near", "far")

    def __init__(self, near: list[Upstream], far: list[Upstream]):
        self.near = near
        self.far = far


class UpstreamSource(ABC):
    """Knows which upstreams may get work.

    Attributes:
        changes: Grows with each change of that.
    """

    changes = 0

    @abstractmethod
    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get work."""


class Candidates:
    """Picks each VM's part by a hash of VM and upstream (rendezvous hashing).

    The part stays the same while upstreams come and go, so that connections are kept, and differs
    from VM to VM, so that the load spreads. A VM without enough near upstreams looks at more far
    ones.
    """

    def __init__(self, vm: str, upstreams: UpstreamSource):
        self.vm = vm
        self.upstreams = upstreams
        self.changes = -1
        self.neighbours: dict[str, Neighbours] = {}

    def of_service(self, service: str) -> Neighbours:
        """Return the upstreams of a service that are looked at."""
        if self.changes != self.upstreams.changes:
            self.changes = self.upstreams.changes
            self.neighbours = {}
        found = self.neighbours.get(service)
        if found is None:
            found = self.neighbours[service] = self._pick(service)
        return found

    def _pick(self, service: str) -> Neighbours:
        known = self.upstreams.of_service(service)
        near = self._part([u for u in known if u.is_local], MOST_NEAR)
        wanted = MOST_FAR + max(0, MOST_FAR - len(near))
        far = self._part([u for u in known if not u.is_local], wanted)
        return Neighbours(near, far)

    def _part(self, upstreams: list[Upstream], most: int) -> list[Upstream]:
        if len(upstreams) <= most:
            return upstreams
        return sorted(upstreams, key=self._rank)[:most]

    def _rank(self, upstream: Upstream) -> bytes:
        return blake2b(f"{self.vm}/{upstream.id}".encode(), digest_size=8).digest()

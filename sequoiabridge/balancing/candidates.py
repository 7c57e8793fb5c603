"""Which upstreams of a service a VM looks at: all of a small one, a stable part of a large one."""

from __future__ import annotations

from abc import ABC, abstractmethod
from hashlib import blake2b

from .upstream import Upstream

MAX_LOCAL = 8
"""Upstreams of its own data centre that a VM keeps connections to, for each service. Five are asked
before a call; some more leave a choice when several are busy or away."""

MAX_REMOTE = 5
"""Upstreams of other data centres likewise; they are asked only when all near ones are bad."""


class CandidateSet:
    """The upstreams that a VM looks at for one service."""

    __slots__ = ("local", "remote")

    def __init__(self, local: list[Upstream], remote: list[Upstream]):
        self.local = local
        self.remote = remote


class UpstreamSource(ABC):
    """Knows which upstreams may get work.

    Attributes:
        changes: Grows with each change of that.
    """

    generation = 0

    @abstractmethod
    def for_service(self, service: str) -> list[Upstream]:
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
        self.generation = -1
        self.by_service: dict[str, CandidateSet] = {}

    def for_service(self, service: str) -> CandidateSet:
        """Return the upstreams of a service that are looked at."""
        if self.generation != self.upstreams.generation:
            self.generation = self.upstreams.generation
            self.by_service = {}
        candidates = self.by_service.get(service)
        if candidates is None:
            candidates = self.by_service[service] = self._pick(service)
        return candidates

    def _pick(self, service: str) -> CandidateSet:
        known = self.upstreams.for_service(service)
        local = self._subset([u for u in known if u.is_local], MAX_LOCAL)
        max_remote = MAX_REMOTE + max(0, MAX_REMOTE - len(local))
        remote = self._subset([u for u in known if not u.is_local], max_remote)
        return CandidateSet(local, remote)

    def _subset(self, upstreams: list[Upstream], limit: int) -> list[Upstream]:
        if len(upstreams) <= limit:
            return upstreams
        return sorted(upstreams, key=self._rank)[:limit]

    def _rank(self, upstream: Upstream) -> bytes:
        return blake2b(f"{self.vm}/{upstream.id}".encode(), digest_size=8).digest()

"""Selects the upstreams of a service that this VM uses: all of them, or a stable subset of many."""

from __future__ import annotations

from abc import ABC, abstractmethod
from hashlib import blake2b

from .upstream import Upstream

MAX_LOCAL = 8
"""Maximum number of candidates per service in the VM's own data centre. Five are probed before a
call; some more leave a choice when several are busy or down."""

MAX_REMOTE = 5
"""Maximum number of candidates per service in other data centres; one more for each local candidate
missing up to this number. They are probed only when all local ones are bad."""


class CandidateSet:
    """The candidates of one service: upstreams in this VM's data centre and in others.

    Attributes:
        spare: The other upstreams of the service, for calls that no candidate may get.
    """

    __slots__ = ("local", "remote", "spare")

    def __init__(self, local: list[Upstream], remote: list[Upstream], spare: list[Upstream]):
        self.local = local
        self.remote = remote
        self.spare = spare

    @property
    def all(self) -> list[Upstream]:
        """Return all candidates, the local ones first."""
        return self.local + self.remote


class UpstreamSource(ABC):
    """Provides the upstreams that accept calls.

    Attributes:
        generation: Increases with each change of the upstreams.
    """

    generation = 0

    @abstractmethod
    def for_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept calls."""


class Candidates:
    """Selects a subset of each service's upstreams by rendezvous hashing of VM and upstream.

    The subset hardly changes while upstreams come and go, so that connections are kept, and differs
    between VMs, so that the load spreads. A VM with few local upstreams gets more remote ones.

    Args:
        vm: Name of this VM.
        upstreams: Source of the upstreams of each service.
    """

    def __init__(self, vm: str, upstreams: UpstreamSource):
        self.vm = vm
        self.upstreams = upstreams
        self.generation = -1
        self.by_service: dict[str, CandidateSet] = {}

    def for_service(self, service: str) -> CandidateSet:
        """Return the candidates of a service."""
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
        chosen = {upstream.id for upstream in local + remote}
        return CandidateSet(local, remote, [u for u in known if u.id not in chosen])

    def _subset(self, upstreams: list[Upstream], limit: int) -> list[Upstream]:
        if len(upstreams) <= limit:
            return upstreams
        return sorted(upstreams, key=self._rank)[:limit]

    def _rank(self, upstream: Upstream) -> bytes:
        return blake2b(f"{self.vm}/{upstream.id}".encode(), digest_size=8).digest()

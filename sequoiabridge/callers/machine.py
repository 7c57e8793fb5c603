"""Limits for all callers together, derived from the memory and the descriptors of the machine."""

from __future__ import annotations

import os
import resource

from .limits import KIB, CallerLimits

BUFFER_SHARE = 0.25
"""Share of the memory for bodies and answers that wait for callers."""

CONNECTION_SHARE = 0.2
"""Share of the memory for callers' connections and the heads of their requests."""

CONNECTION_BYTES = 8 * KIB
"""Memory of an open connection without its head: socket, task and parsers."""

MAX_FILES = 200
FILES_SHARE = 0.1
"""Descriptors that are left for files and pipes: a share, and at most a number."""

CALLERS_SHARE = 0.4
PEERS_SHARE = 0.3
OPERATORS_SHARE = 0.04
READINESS_SHARE = 0.02
"""Shares of the other descriptors by port; the rest is for connections to upstreams and stores."""

DESCRIPTORS_PER_TUNNEL = 3
"""Descriptors of a connection that is forwarded for a peer: two sockets and an epoll."""


class MachineLimits:
    """What one process may hold for all callers together.

    Args:
        memory: Memory of the machine in bytes; 0 for what the system says.
        descriptors: Number of descriptors that the process may open; 0 for what the system says.
    """

    __slots__ = ("memory", "descriptors")

    def __init__(self, memory: int = 0, descriptors: int = 0):
        self.memory = memory or os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        self.descriptors = descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]

    @property
    def buffers(self) -> int:
        """Maximum number of bytes of bodies and answers that wait for callers."""
        return int(self.memory * BUFFER_SHARE)

    def apply_to(self, limits: CallerLimits) -> None:
        """Lower the number of callers' connections to what the machine has room for."""
        by_memory = int(self.memory * CONNECTION_SHARE) // (CONNECTION_BYTES + limits.max_head)
        limits.allow_connections(min(by_memory, self._descriptors(CALLERS_SHARE)))

    def operator_connections(self, count: int) -> int:
        """Return how many connections of operators there is room for, at most `count`."""
        return min(count, self._descriptors(OPERATORS_SHARE))

    def readiness_connections(self, count: int) -> int:
        """Return how many connections for readiness checks there is room for, at most `count`."""
        return min(count, self._descriptors(READINESS_SHARE))

    @property
    def tunnels(self) -> int:
        """Maximum number of connections that are forwarded for peers."""
        return max(1, self._descriptors(PEERS_SHARE) // (DESCRIPTORS_PER_TUNNEL + 1))

    @property
    def peer_connections(self) -> int:
        """Maximum number of connections of peers, with those that are not forwarded yet."""
        return 2 * self.tunnels

    def _descriptors(self, share: float) -> int:
        files = min(MAX_FILES, int(self.descriptors * FILES_SHARE))
        return max(1, int((self.descriptors - files) * share))

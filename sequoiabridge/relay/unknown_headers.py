"""Reports headers of upstreams' answers that no part of the daemon reads."""

from __future__ import annotations

from ..balancing.upstream import Upstream
from .decisions import DecisionLog

MAX_NAMES = 100
"""Maximum number of names that are remembered; more are counted, but not logged."""

MAX_NAME_BYTES = 80


class UnknownHeaders:
    """Logs each unknown name once, so that a new one is seen in the first record that has it.

    Attributes:
        count: Number of unknown headers.
        names: The names that have been logged.
    """

    def __init__(self, decisions: DecisionLog):
        self.decisions = decisions
        self.count = 0
        self.names: set[bytes] = set()

    def record(self, upstream: Upstream, names: list[bytes]) -> None:
        """Record the unknown headers of one answer."""
        self.count += len(names)
        for name in names:
            if name in self.names or len(self.names) >= MAX_NAMES:
                continue
            self.names.add(name)
            text = name[:MAX_NAME_BYTES].decode("latin-1")
            self.decisions.event("upstream-header-unknown", upstream=upstream.id, header=text)

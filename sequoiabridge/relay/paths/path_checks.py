"""Checks direct paths that have failed, so that they are used again soon after they are back."""

from __future__ import annotations

import curio

from ...balancing.path_peers import PathPeer
from ...balancing.paths import PathTable
from ...timers import Clock
from ..members import Members
from .opener import PathOpener

CHECK_INTERVAL = 0.25
"""Seconds between two rounds of checks."""

MAX_CHECKS = 4
"""Maximum number of paths checked in a round, so that many paths do not come back at once."""

UPDATE_INTERVAL = 0.5
"""Seconds between two times at which the peers and the listed upstreams are compared."""


class PathChecks:
    """Checks paths, and keeps the table of paths in line with the members and the upstreams.

    Attributes:
        applied: The list of the members' addresses that the table's peers were last derived from.
    """

    def __init__(self, table: PathTable, opener: PathOpener, members: Members, clock: Clock):
        self.table = table
        self.opener = opener
        self.members = members
        self.clock = clock
        self.applied: list[str] | None = None

    async def check(self) -> None:
        """Check some paths that have failed; called by a timer."""
        for address in self.table.due_checks(self.clock.now(), MAX_CHECKS):
            await curio.spawn(self.opener.check, address, daemon=True)

    def update(self) -> None:
        """Take over changes of the members and of the listed upstreams; called by a timer."""
        self.table.retain_listed()
        if self.members.all_addresses is self.applied:
            return
        self.applied = self.members.all_addresses
        peers = self.members.peers.values()
        self.table.peers.update(PathPeer(hello.vm, hello.address) for hello in peers)

"""The periodic work of a daemon, all on its one timer service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .platform import PlatformWork

if TYPE_CHECKING:
    from ..daemon import Daemon

IDLE_SWEEP = 5.0
"""Seconds between two looks for connections that have been idle too long."""

DELIVER_EVERY = 1.0
"""Seconds between two looks for uploads to deliver."""

COLLECT_EVERY = 30.0
"""Seconds between two steps of the removal of orphan chunks."""


class Schedule:
    """Subscribes each part, and does what belongs to no part alone."""

    def __init__(self, daemon: Daemon):
        self.clock = daemon.clock
        self.timers = daemon.timers
        self.fleet = daemon.fleet
        self.platform = PlatformWork(daemon)
        self.path = daemon.path
        self.store_parts = (
            daemon.store,
            daemon.claims,
            daemon.claim_admin,
            daemon.configuration,
        )

    def subscribe(self) -> None:
        """Subscribe everything; the timers must not run yet."""
        timers, path = self.timers, self.path
        for part in self.store_parts:
            part.subscribe(timers)
        path.services.subscribe(timers)
        path.sharing.subscribe(timers)
        path.probing.subscribe(timers)
        path.drain_checker.subscribe(timers)
        self.fleet.on_event(lambda event: path.services.share_connections())
        path.admit.subscribe(timers)
        timers.every(IDLE_SWEEP, "idle connections", path.connector.sweep)
        timers.every(DELIVER_EVERY, "deliveries", self.deliver)
        timers.every(COLLECT_EVERY, "orphans", self.collect)
        self.platform.subscribe()

    async def deliver(self) -> None:
        """Look for uploads to deliver."""
        await self.path.deliveries.step(self.clock.wall())

    async def collect(self) -> None:
        """Remove some chunks that no upload refers to."""
        await self.path.orphans.step(self.clock.wall())

"""The periodic work of a daemon, all on its one timer service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .platform_tasks import PlatformTasks

if TYPE_CHECKING:
    from ..daemon import Daemon

IDLE_CHECK_INTERVAL = 5.0
"""Seconds between two looks for connections that have been idle too long."""

DELIVERY_INTERVAL = 1.0
"""Seconds between two looks for uploads to deliver."""

ORPHAN_REMOVAL_INTERVAL = 30.0
"""Seconds between two steps of the removal of orphan chunks."""


class Schedule:
    """Subscribes each part, and does what belongs to no part alone."""

    def __init__(self, daemon: Daemon):
        self.clock = daemon.clock
        self.timers = daemon.timers
        self.fleet = daemon.fleet
        self.platform = PlatformTasks(daemon)
        self.path = daemon.path
        self.store_components = (
            daemon.store,
            daemon.claims,
            daemon.claim_admin,
            daemon.configuration,
        )

    def subscribe(self) -> None:
        """Subscribe everything; the timers must not run yet."""
        timers, path = self.timers, self.path
        for component in self.store_components:
            component.subscribe(timers)
        path.services.subscribe(timers)
        path.sharing.subscribe(timers)
        path.probing.subscribe(timers)
        path.drain_checker.subscribe(timers)
        self.fleet.on_event(lambda event: path.services.share_connections())
        path.admit.subscribe(timers)
        timers.every(IDLE_CHECK_INTERVAL, "idle connections", path.connector.sweep)
        timers.every(DELIVERY_INTERVAL, "deliveries", self.deliver)
        timers.every(ORPHAN_REMOVAL_INTERVAL, "orphans", self.collect)
        self.platform.subscribe()

    async def deliver(self) -> None:
        """Look for uploads to deliver."""
        await self.path.deliveries.step(self.clock.wall())

    async def collect(self) -> None:
        """Remove some chunks that no upload refers to."""
        await self.path.orphans.step(self.clock.wall())

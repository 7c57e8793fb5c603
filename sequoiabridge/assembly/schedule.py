"""The periodic work of a daemon, run by its timer service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .platform_tasks import PlatformTasks

if TYPE_CHECKING:
    from ..daemon import Daemon

IDLE_CHECK_INTERVAL = 5.0
"""Seconds between two checks for connections that exceed the idle timeout."""

DELIVERY_INTERVAL = 1.0
"""Seconds between two checks for uploads to deliver."""

ORPHAN_REMOVAL_INTERVAL = 30.0
"""Seconds between two steps of the removal of orphaned chunks."""


class Schedule:
    """Subscribes the components' periodic work to the timer service."""

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
        """Subscribe all periodic work; must be called before the timers run."""
        timers, path = self.timers, self.path
        for component in self.store_components:
            component.subscribe(timers)
        path.services.subscribe(timers)
        path.sharing.subscribe(timers)
        path.probing.subscribe(timers)
        path.drain_checker.subscribe(timers)
        self.fleet.on_event(lambda event: path.services.share_connections())
        path.admit.subscribe(timers)
        timers.every(IDLE_CHECK_INTERVAL, "idle connections", path.connector.close_expired)
        timers.every(DELIVERY_INTERVAL, "deliveries", self.deliver)
        timers.every(ORPHAN_REMOVAL_INTERVAL, "orphans", self.collect)
        self.platform.subscribe()

    async def deliver(self) -> None:
        """Deliver uploads that are due."""
        await self.path.deliveries.step(self.clock.wall())

    async def collect(self) -> None:
        """Remove some chunks to which no upload refers."""
        await self.path.orphans.step(self.clock.wall())

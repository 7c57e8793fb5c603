"""Periodic calls to the platform at a rate for the whole fleet, however many VMs share it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..daemon import Daemon

MIN_LIST_INTERVAL = 5.0
"""Seconds between two looks at the platform's VM list, at least."""

MAX_FLEET_LIST_RATE = 20.0
"""Reads of the VM list a second by the whole fleet: a larger one reads it less often."""

PRUNE_INTERVAL = 60.0
"""Seconds between two removals of old changes by the fleet, on average."""

LIST_TIMEOUT = 1.0


class PlatformTasks:
    """Reads the VM list, and removes old changes of the configuration."""

    def __init__(self, daemon: Daemon):
        self.timers = daemon.timers
        self.random = daemon.random
        self.fleet = daemon.fleet
        self.vm_list = daemon.vm_list
        self.versions = daemon.versions

    def subscribe(self) -> None:
        """Begin, at a time by chance, so that VMs started together do not ask together."""
        self.timers.after(self.random.uniform(0.0, MIN_LIST_INTERVAL), "vm list", self.read_list)
        self.timers.every(PRUNE_INTERVAL, "old changes", self.prune)

    async def read_list(self) -> None:
        """Tell the fleet which VMs the platform lists, and look again later."""
        interval = max(MIN_LIST_INTERVAL, self.fleet.live_count() / MAX_FLEET_LIST_RATE)
        self.timers.after(interval * self.random.uniform(0.8, 1.2), "vm list", self.read_list)
        listed = await self.vm_list.vms(LIST_TIMEOUT)
        if listed.is_ok():
            self.fleet.hint([vm.address for vm in listed.ok if not vm.leaving])

    async def prune(self) -> None:
        """Remove some old changes, if it falls to this VM: on average one of the fleet does it."""
        if self.random.random() * self.fleet.live_count() < 1.0:
            await self.versions.prune()
